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
	// certificateValidity is how long the certificates that Generate creates are valid.
	certificateValidity = 365 * 24 * time.Hour
	// serverName is the DNS name that the certificates of all entry VMs contain and
	// that clients verify.
	serverName = "entry.lacewingladder"
)

// Load reads the TLS files of a process and returns a TLS configuration for use
// both as a client and as a server.
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
		ServerName:   serverName,
	}, nil
}

// Paths returns the paths of the files that [Generate] writes for a name.
func Paths(dir, name string) laddersettings.TLS {
	return laddersettings.TLS{
		Authority:   filepath.Join(dir, "authority.pem"),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+"-key.pem"),
	}
}

// Generate creates a certificate authority, and a certificate and key for each name,
// and writes them into a directory that must not contain an authority yet. It does
// not write the key of the authority. The certificate of each name is valid for all
// the given addresses.
func Generate(dir string, names []string, addresses []netip.Addr, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if _, err := os.Stat(Paths(dir, "").Authority); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s holds an authority already", dir)
	}
	authority, authorityKey, err := issue(authorityTemplate("lacewingladder authority", now, 1), nil, nil)
	if err != nil {
		return err
	}
	if err := writePEM(Paths(dir, "").Authority, "CERTIFICATE", authority.Raw); err != nil {
		return err
	}
	for i, name := range names {
		template := authorityTemplate(name, now, int64(i)+2)
		template.IsCA, template.KeyUsage = false, x509.KeyUsageDigitalSignature
		template.DNSNames = []string{serverName, name}
		for _, address := range addresses {
			template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
		}
		cert, key, err := issue(template, authority, authorityKey)
		if err != nil {
			return err
		}
		if err := writePair(Paths(dir, name), cert, key); err != nil {
			return err
		}
	}
	return nil
}

// authorityTemplate returns a template for the certificate of an authority. Generate
// also derives the templates of the other certificates from it.
func authorityTemplate(name string, now time.Time, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(certificateValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// issue generates a key and returns a certificate for it, made from the template
// and signed by the authority with the key signer. Without an authority, the
// certificate is self-signed.
func issue(template, authority *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	if authority == nil {
		authority, signer = template, key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(raw)
	return cert, key, err
}

// writePair writes a certificate and its key to the given paths.
func writePair(paths laddersettings.TLS, cert *x509.Certificate, key *ecdsa.PrivateKey) error {
	if err := writePEM(paths.Certificate, "CERTIFICATE", cert.Raw); err != nil {
		return err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writePEM(paths.Key, "PRIVATE KEY", raw)
}

// writePEM writes a file that holds one PEM block of the given type, readable by
// its owner only.
func writePEM(path, blockType string, raw []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: raw})
	return os.WriteFile(path, data, 0o600)
}
