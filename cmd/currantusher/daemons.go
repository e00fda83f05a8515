package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"

	"currantusher.dev/core"
	"currantusher.dev/core/keys"
	"currantusher.dev/daemon/agent"
	"currantusher.dev/daemon/entry"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/daemon/settings"
	"currantusher.dev/tables/spread"
)

// daemonFlags are the settings that entries and agents share.
type daemonFlags struct {
	instance, dataCentre, region string
	peerListen, peerAdvertise    string
	platformURL                  string
	ca, cert, key                string
	logLevel, logFormat          string
}

func (f *daemonFlags) define(set *settings.Set) {
	set.String(&f.instance, "instance", "", "id of this instance")
	set.String(&f.dataCentre, "data-centre", "", "data centre of this instance")
	set.String(&f.region, "region", "", "region of the data centre")
	set.String(&f.peerListen, "peer-listen", "127.0.0.1:0", "IP and UDP port for other daemons")
	set.String(&f.peerAdvertise, "peer-advertise", "", "IP and UDP port by which other daemons reach peer-listen; empty means peer-listen")
	set.String(&f.platformURL, "platform-url", "http://127.0.0.1:9000", "URL of the platform's table service, object store and list")
	set.String(&f.ca, "ca", "", "PEM file of the authority that signs the daemons' certificates")
	set.String(&f.cert, "cert", "", "PEM file of this daemon's certificate")
	set.String(&f.key, "key", "", "PEM file of this daemon's private key")
	set.String(&f.logLevel, "log-level", "info", "lowest level to log: debug, info, warning or error")
	set.String(&f.logFormat, "log-format", "text", "text or json")
}

func (f *daemonFlags) load() (*tls.Config, *obs.Logger, error) {
	config, err := keys.LoadTLSConfig(f.ca, f.cert, f.key)
	if err != nil {
		return nil, nil, usageError{err}
	}
	log, err := obs.NewLogger(os.Stderr, f.logLevel, f.logFormat, core.InstanceID(f.instance))
	if err != nil {
		return nil, nil, usageError{err}
	}
	return config, log, nil
}

func entryCommand() *command {
	var flags daemonFlags
	var config entry.Config
	var storeRegion, httpCert, httpKey string
	c := &command{name: "entry", usage: "Runs an entry, which callers and operators connect to."}
	flags.define(&c.settings)
	c.settings.String(&config.HTTPListen, "http-listen", "127.0.0.1:7070", "IP and TCP port for callers and operators")
	c.settings.String(&config.HTTPAdvertise, "http-advertise", "", "IP and TCP port by which callers reach http-listen; empty means http-listen")
	c.settings.String(&httpCert, "http-cert", "", "PEM file of the HTTPS certificate; without it plain HTTP is served")
	c.settings.String(&httpKey, "http-key", "", "PEM file of the HTTPS private key")
	c.settings.String(&config.OperatorToken, "operator-token", "", "token that edits need")
	c.settings.String(&storeRegion, "store-region", "", "region of the platform's table service; empty means any")
	c.settings.Duration(&config.AddressTTL, "address-ttl", entry.DefaultAddressTTL, "how long callers keep an address answer")
	c.settings.Duration(&config.DrainTimeout, "drain-time", entry.DefaultDrainTimeout, "longest wait for work in progress at a planned stop")
	c.settings.Duration(&config.ConfigMaxAge, "config-max-age", entry.DefaultConfigMaxAge, "age of the configuration's confirmation past which it is stale")
	c.settings.String(&config.StalePolicy, "config-stale", spread.OnStaleStop, "with a stale configuration: stop new work, or serve on")
	c.settings.Int(&config.QueueLength, "queue-length", entry.DefaultQueueLength, "waiting requests of one team")
	c.settings.Int(&config.MaxBodyBytes, "max-body", entry.DefaultMaxBodyBytes, "largest request body in bytes")
	c.settings.Int(&config.MaxAnswerBytes, "max-answer", entry.DefaultMaxAnswerBytes, "largest plain answer in bytes")
	c.settings.Duration(&config.Deadline, "deadline", entry.DefaultDeadline, "deadline of requests whose route gives none")
	c.run = func(ctx context.Context) error {
		var err error
		config.TLS, config.Log, err = flags.load()
		if err != nil {
			return err
		}
		config.HTTPTLS, err = loadHTTPS(httpCert, httpKey)
		if err != nil {
			return err
		}
		config.Instance = core.InstanceID(flags.instance)
		config.DataCentre = core.DataCentre(flags.dataCentre)
		config.Region = core.Region(flags.region)
		config.StoreRegion = core.Region(storeRegion)
		config.PeerListen = flags.peerListen
		config.PeerAdvertise = flags.peerAdvertise
		config.PlatformURL = flags.platformURL
		daemon, err := entry.New(config)
		if err != nil {
			return usageError{err}
		}
		return daemon.Run(ctx)
	}
	return c
}

func loadHTTPS(cert, key string) (*tls.Config, error) {
	if cert == "" && key == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, usageError{fmt.Errorf("http-cert %q, http-key %q: %w", cert, key, err)}
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}, nil
}

func agentCommand() *command {
	var flags daemonFlags
	var config agent.Config
	var group string
	c := &command{name: "agent", usage: "Runs an agent in a backend server instance's slot."}
	flags.define(&c.settings)
	c.settings.String(&group, "group", "", "group of instances that a pool selects")
	c.settings.String(&config.BackendURL, "backend-url", "http://127.0.0.1:9100", "URL of the backend server in the slot")
	c.settings.String(&config.OriginURL, "origin-url", "", "URL of the origin of weights; empty for plain services")
	c.settings.String(&config.WeightStoreURL, "weight-store-url", "", "URL of the rate-limited weight store")
	c.settings.String(&config.HTTPListen, "http-listen", "", "IP and TCP port of /metrics, /healthz and /readyz; empty serves none")
	c.settings.Bool(&config.EngineIgnoresFence, "engine-ignores-fence", "the engine does not refuse stale fencing tokens, so wait out earlier leases")
	c.settings.Duration(&config.ConfigMaxAge, "config-max-age", agent.DefaultConfigMaxAge, "age of the configuration's confirmation past which it is stale")
	c.settings.String(&config.StalePolicy, "config-stale", spread.OnStaleStop, "with a stale configuration: stop new work, or serve on")
	c.settings.Duration(&config.DrainTimeout, "drain-time", agent.DefaultDrainTimeout, "longest wait for work in progress at a planned stop")
	c.settings.Duration(&config.StatePollInterval, "state-poll", agent.DefaultStatePollInterval, "time between readings of the backend server's state")
	c.settings.Duration(&config.LeaseDuration, "lease", agent.DefaultLeaseDuration, "term of the lease for orders to the engine")
	c.run = func(ctx context.Context) error {
		var err error
		config.TLS, config.Log, err = flags.load()
		if err != nil {
			return err
		}
		config.Instance = core.InstanceID(flags.instance)
		config.DataCentre = core.DataCentre(flags.dataCentre)
		config.Region = core.Region(flags.region)
		config.Group = core.Group(group)
		config.PeerListen = flags.peerListen
		config.PeerAdvertise = flags.peerAdvertise
		config.PlatformURL = flags.platformURL
		daemon, err := agent.New(config)
		if err != nil {
			return usageError{err}
		}
		return daemon.Run(ctx)
	}
	return c
}
