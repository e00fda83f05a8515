package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"currantusher.dev/core"
	"currantusher.dev/core/keys"
)

const (
	keyFileMode  = 0o600
	certFileMode = 0o644
	keyDirMode   = 0o700
)

func keysCommand() *command {
	var dir, instances string
	create := &command{
		name:        "create",
		usage:       "Writes the certificate of a new certificate authority, and a certificate and key for each instance, for test deployments.",
		positionals: []positional{{target: &dir, name: "DIR", usage: "folder to write to", required: true}},
	}
	create.settings.String(&instances, "instances", "", "comma-separated instance IDs")
	create.run = func(context.Context) error {
		return createKeys(dir, strings.Split(instances, ","))
	}
	return &command{name: "keys", usage: "Creates keys and certificates for test deployments.", children: []*command{create}}
}

func createKeys(dir string, instances []string) error {
	authority, err := keys.NewAuthority()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, keyDirMode); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "ca.pem"), authority.CertPEM(), certFileMode); err != nil {
		return err
	}
	for _, name := range instances {
		if err := core.CheckName("instance", name); err != nil {
			return usageError{err}
		}
		if err := writePair(dir, name, authority); err != nil {
			return err
		}
	}
	fmt.Printf("wrote ca.pem and %d pairs to %s\n", len(instances), dir)
	return nil
}

func writePair(dir, name string, authority *keys.Authority) error {
	pair, err := authority.Issue(core.InstanceID(name))
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, name+".pem"), pair.Cert, certFileMode); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name+".key"), pair.Key, keyFileMode)
}
