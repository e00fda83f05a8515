// Package keys issues and loads the certificates with which daemons
// authenticate each other. The common name of a certificate is the instance id.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"time"

	"currantusher.dev/core"
)

const (
	certValidity       = 365 * 24 * time.Hour
	clockSkewAllowance = time.Hour
	serialNumberBits   = 120
	pemTypeCert        = "CERTIFICATE"
	pemTypePrivateKey  = "PRIVATE KEY"
	// peerServerName is the DNS name in every daemon's certificate. Daemons
	// connect by IP address, so the name only shows that the certificate
	// belongs to a daemon.
	peerServerName = "peer.currantusher"
)

// Authority is a certificate authority that signs the certificates of daemons.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority generates a temporary authority, for tests and the demo.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newCertTemplate("currantusher authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key}, nil
}

func newCertTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewAllowance),
		NotAfter:     now.Add(certValidity),
	}, nil
}

// KeyPair is a certificate and its private key, both PEM encoded.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// Issue generates a key and a certificate for an instance.
func (a *Authority) Issue(id core.InstanceID) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	template, err := newCertTemplate(string(id))
	if err != nil {
		return KeyPair{}, err
	}
	template.DNSNames = []string{peerServerName}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return KeyPair{}, err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, err
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: pemTypeCert, Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: pemTypePrivateKey, Bytes: encoded}),
	}, nil
}

// CertPEM returns the authority's certificate, PEM encoded.
func (a *Authority) CertPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemTypeCert, Bytes: a.cert.Raw})
}

// TLSConfig returns the mutual TLS configuration of a daemon. The daemon
// presents pair and accepts peers with certificates that the authority in caPEM
// signed.
func TLSConfig(caPEM []byte, pair KeyPair) (*tls.Config, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(caPEM) {
		return nil, fmt.Errorf("authority certificate: no PEM certificate found")
	}
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("daemon certificate: %w", err)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   peerServerName,
	}, nil
}

// LoadTLSConfig reads PEM files and returns the mutual TLS configuration of a
// daemon.
func LoadTLSConfig(caFile, certFile, keyFile string) (*tls.Config, error) {
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("authority certificate: %w", err)
	}
	cert, err := os.ReadFile(certFile)
	if err != nil {
		return nil, fmt.Errorf("daemon certificate: %w", err)
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, fmt.Errorf("daemon key: %w", err)
	}
	return TLSConfig(ca, KeyPair{Cert: cert, Key: key})
}
