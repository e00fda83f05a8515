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

func (f *daemonFlags) registerFlags(set *settings.Set) {
	set.String(&f.instance, "instance", "", "ID of this instance")
	set.String(&f.dataCentre, "data-centre", "", "data centre of this instance")
	set.String(&f.region, "region", "", "region of the data centre")
	set.String(&f.peerListen, "peer-listen", "127.0.0.1:0", "IP and UDP port to listen on for other daemons")
	set.String(&f.peerAdvertise, "peer-advertise", "", "IP and UDP port at which other daemons reach peer-listen; empty means peer-listen")
	set.String(&f.platformURL, "platform-url", "http://127.0.0.1:9000", "URL of the platform's table service, object store and list of instances")
	set.String(&f.ca, "ca", "", "PEM file of the certificate authority that signs the daemons' certificates")
	set.String(&f.cert, "cert", "", "PEM file of this daemon's certificate")
	set.String(&f.key, "key", "", "PEM file of this daemon's private key")
	set.String(&f.logLevel, "log-level", "info", "minimum level to log: debug, info, warning or error")
	set.String(&f.logFormat, "log-format", "text", "format of log lines: text or json")
}

// load reads the TLS files and opens the log.
func (f *daemonFlags) load() (*tls.Config, *obs.Logger, error) {
	tlsConfig, err := keys.LoadTLSConfig(f.ca, f.cert, f.key)
	if err != nil {
		return nil, nil, usageError{err}
	}
	log, err := obs.NewLogger(os.Stderr, f.logLevel, f.logFormat, core.InstanceID(f.instance))
	if err != nil {
		return nil, nil, usageError{err}
	}
	return tlsConfig, log, nil
}

func entryCommand() *command {
	var flags daemonFlags
	var config entry.Config
	var storeRegion, httpCert, httpKey string
	c := &command{name: "entry", usage: "Runs an entry, the daemon that callers and operators connect to."}
	flags.registerFlags(&c.settings)
	c.settings.String(&config.HTTPListen, "http-listen", "127.0.0.1:7070", "IP and TCP port to listen on for callers and operators")
	c.settings.String(&config.HTTPAdvertise, "http-advertise", "", "IP and TCP port at which callers reach http-listen; empty means http-listen")
	c.settings.String(&httpCert, "http-cert", "", "PEM file of the HTTPS certificate; empty serves plain HTTP")
	c.settings.String(&httpKey, "http-key", "", "PEM file of the HTTPS private key")
	c.settings.String(&config.OperatorToken, "operator-token", "", "token that edits must carry")
	c.settings.String(&storeRegion, "store-region", "", "region of the platform's table service; empty means any")
	c.settings.Duration(&config.AddressTTL, "address-ttl", entry.DefaultAddressTTL, "time for which callers may cache an address answer")
	c.settings.Duration(&config.DrainTimeout, "drain-time", entry.DefaultDrainTimeout, "maximum wait for requests in flight at a planned stop")
	c.settings.Duration(&config.ConfigMaxAge, "config-max-age", entry.DefaultConfigMaxAge, "time since the last confirmation of the configuration after which it is stale")
	c.settings.String(&config.StalePolicy, "config-stale", spread.OnStaleStop, "with a stale configuration, stop new work or serve with it: stop or serve")
	c.settings.Int(&config.QueueLength, "queue-length", entry.DefaultQueueLength, "maximum number of queued requests of one team")
	c.settings.Int(&config.MaxBodyBytes, "max-body", entry.DefaultMaxBodyBytes, "largest request body in bytes")
	c.settings.Int(&config.MaxAnswerBytes, "max-answer", entry.DefaultMaxAnswerBytes, "largest plain answer in bytes")
	c.settings.Duration(&config.Deadline, "deadline", entry.DefaultDeadline, "deadline of requests whose route sets none")
	c.settings.Int(&config.MaxConns, "max-conns", entry.DefaultMaxConns, "maximum number of open connections of callers and operators")
	c.settings.Int(&config.TransferMemory, "transfer-memory", entry.DefaultTransferMemory, "maximum bytes of the bodies of all requests in progress, and likewise of the answers being written")
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
	c := &command{name: "agent", usage: "Runs an agent, the daemon beside a backend server."}
	flags.registerFlags(&c.settings)
	c.settings.String(&group, "group", "", "group of this instance, by which pools select instances")
	c.settings.String(&config.BackendURL, "backend-url", "http://127.0.0.1:9100", "URL of the backend server")
	c.settings.String(&config.OriginURL, "origin-url", "", "URL of the origin of weights; empty for plain services")
	c.settings.String(&config.WeightStoreURL, "weight-store-url", "", "URL of the rate-limited weight store")
	c.settings.String(&config.HTTPListen, "http-listen", "", "IP and TCP port of /metrics, /healthz and /readyz; empty serves none")
	c.settings.Bool(&config.EngineIgnoresFence, "engine-ignores-fence", "the engine does not reject stale fencing tokens, so wait until earlier leases have expired")
	c.settings.Duration(&config.ConfigMaxAge, "config-max-age", agent.DefaultConfigMaxAge, "time since the last confirmation of the configuration after which it is stale")
	c.settings.String(&config.StalePolicy, "config-stale", spread.OnStaleStop, "with a stale configuration, stop new work or serve with it: stop or serve")
	c.settings.Duration(&config.DrainTimeout, "drain-time", agent.DefaultDrainTimeout, "maximum wait for requests in flight at a planned stop")
	c.settings.Duration(&config.StatePollInterval, "state-poll", agent.DefaultStatePollInterval, "interval between polls of the backend server's state")
	c.settings.Duration(&config.LeaseDuration, "lease", agent.DefaultLeaseDuration, "duration of the lease that allows commands to the engine")
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
