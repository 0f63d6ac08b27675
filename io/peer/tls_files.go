package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"github.com/zeebo/errs"
)

// tlsErrors adds the subject to errors.
var tlsErrors = errs.Class("keys of mutual TLS")

// TLSFiles names the PEM files for mutual TLS. The zero value means plain TCP.
type TLSFiles struct {
	CA   string // CA certificates that sign those of the VMs
	Cert string // certificate of this VM
	Key  string // private key of the certificate
}

// Load reads the files and returns a configuration for either side of a
// connection. It returns nil for plain TCP.
func (f TLSFiles) Load() (c *tls.Config, err error) {
	if f == (TLSFiles{}) {
		return nil, nil
	}
	defer tlsErrors.WrapP(&err)
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s contains no PEM certificate", f.CA)
	}
	verify := func(state tls.ConnectionState) error { return verifyChain(state, pool) }
	if err = verifyLeaf(pair.Certificate[0], pool); err != nil {
		return nil, fmt.Errorf("%s: %w", f.Cert, err)
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{pair},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection checks the certificate chain, but not the name
		VerifyConnection:   verify,
	}, nil
}

// verifyLeaf checks that other VMs will accept this VM's certificate.
func verifyLeaf(der []byte, pool *x509.CertPool) error {
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return err
	}
	return verifyChain(tls.ConnectionState{PeerCertificates: []*x509.Certificate{leaf}}, pool)
}

// verifyChain checks that the other side's certificate is signed by an authority of
// the pool.
func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other side sent no certificate")
	}
	options := x509.VerifyOptions{
		Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
