package laddercert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"lacewingladder/laddersettings"
)

const (
	// validity is how long made certificates are valid.
	validity = 365 * 24 * time.Hour
	// fleetName is the name that all entry VMs' certificates carry.
	fleetName = "entry.lacewingladder"
)

// Load reads the files of a process and returns the TLS configuration for both
// ends of its connections.
func Load(s laddersettings.TLS) (*tls.Config, error) {
	authority, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, fmt.Errorf("tls.authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("tls.authority: %s holds no certificate", s.Authority)
	}
	pair, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, fmt.Errorf("tls.certificate: %w", err)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   fleetName,
	}, nil
}

// Paths returns the files that [Make] writes for a name.
func Paths(dir, name string) laddersettings.TLS {
	return laddersettings.TLS{
		Authority:   filepath.Join(dir, "authority.pem"),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+"-key.pem"),
	}
}

// Make writes an authority and a certificate for each name into a directory that
// must not hold an authority yet.
func Make(dir string, names []string, addresses []netip.Addr, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if _, err := os.Stat(Paths(dir, "").Authority); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s holds an authority already", dir)
	}
	authority, authorityKey, err := issue(template("lacewingladder authority", now, 1), nil, nil)
	if err != nil {
		return err
	}
	if err := writePEM(Paths(dir, "").Authority, "CERTIFICATE", authority.Raw); err != nil {
		return err
	}
	for i, name := range names {
		t := template(name, now, int64(i)+2)
		t.IsCA, t.KeyUsage = false, x509.KeyUsageDigitalSignature
		t.DNSNames = []string{fleetName, name}
		for _, a := range addresses {
			t.IPAddresses = append(t.IPAddresses, net.IP(a.AsSlice()))
		}
		cert, key, err := issue(t, authority, authorityKey)
		if err != nil {
			return err
		}
		if err := writePair(Paths(dir, name), cert, key); err != nil {
			return err
		}
	}
	return nil
}

func template(name string, now time.Time, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// issue signs a template with the authority's key, or with its own.
func issue(t, authority *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	if authority == nil {
		authority, signer = t, key
	}
	raw, err := x509.CreateCertificate(rand.Reader, t, authority, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(raw)
	return cert, key, err
}

func writePair(to laddersettings.TLS, cert *x509.Certificate, key *ecdsa.PrivateKey) error {
	if err := writePEM(to.Certificate, "CERTIFICATE", cert.Raw); err != nil {
		return err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writePEM(to.Key, "PRIVATE KEY", raw)
}

func writePEM(path, kind string, raw []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
	return os.WriteFile(path, data, 0o600)
}
