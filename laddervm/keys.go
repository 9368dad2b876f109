package laddervm

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"errors"
	"math/big"
	"time"
)

// keyLife is how long a VM's certificate is valid on either side of its making. It
// names no authority: what counts is the registered hash, and clocks may jump.
const certificateValidity = 10 * 365 * 24 * time.Hour

// keys is the VM's own key pair, made at its start, and the TLS configurations
// that accept registered peers only.
type keys struct {
	hash   string
	server *tls.Config
	client *tls.Config
}

var errUnregisteredPeer = errors.New("the peer's key is not registered")

// newKeys makes a key pair. Trusts tells whether a hash is registered.
func newKeys(trusted func(hash string) bool) (*keys, error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "entry VM"},
		NotBefore: now.Add(-certificateValidity), NotAfter: now.Add(certificateValidity),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		return nil, err
	}
	verify := func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 || !trusted(keyHash(s.PeerCertificates[0])) {
			return errUnregisteredPeer
		}
		return nil
	}
	base := &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: private}},
		VerifyConnection: verify,
	}
	k := &keys{server: base.Clone(), client: base.Clone()}
	k.server.ClientAuth = tls.RequireAnyClientCert
	// The chain is not checked since there is none; VerifyConnection is.
	k.client.InsecureSkipVerify = true
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, err
	}
	k.hash = keyHash(cert)
	return k, nil
}

// hashOf returns the registered form of a certificate's public key.
func keyHash(c *x509.Certificate) string {
	sum := sha256.Sum256(c.RawSubjectPublicKeyInfo)
	return hex.EncodeToString(sum[:])
}
