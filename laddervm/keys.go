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

// certificateValidity is how long before and after its creation a VM's certificate is valid.
// It is long because clocks may jump, and because peers check only the registered hash of the
// key; no authority signs the certificate.
const certificateValidity = 10 * 365 * 24 * time.Hour

// keys holds the VM's own key pair, which is created at its start, and the TLS configurations
// that accept registered peers only.
type keys struct {
	hash   string
	server *tls.Config
	client *tls.Config
}

var errUnregisteredPeer = errors.New("the peer's key is not registered")

// newKeys creates a key pair. Trusted reports whether the hash of a peer's key is registered.
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
		MinVersion: tls.VersionTLS13,
		// Other exchanges of keys take more processor time, which many handshakes at once have not.
		CurvePreferences: []tls.CurveID{tls.CurveP256},
		Certificates:     []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: private}},
		VerifyConnection: verify,
	}
	k := &keys{server: base.Clone(), client: base.Clone()}
	k.server.ClientAuth = tls.RequireAnyClientCert
	// There is no certificate chain to verify; VerifyConnection checks the peer's key.
	k.client.InsecureSkipVerify = true
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, err
	}
	k.hash = keyHash(cert)
	return k, nil
}

// keyHash returns the hash of a certificate's public key, in its registered form.
func keyHash(c *x509.Certificate) string {
	sum := sha256.Sum256(c.RawSubjectPublicKeyInfo)
	return hex.EncodeToString(sum[:])
}
