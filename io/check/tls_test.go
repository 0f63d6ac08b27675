package check

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"path/filepath"
	"time"

	"comfreypulley/io/peer"
)

// writeTLSFiles writes the certificate of an authority, and a certificate and key
// for each VM.
func (f *fleet) writeTLSFiles() {
	f.t.Helper()
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	signer := f.newKey()
	f.writeCertificate("ca", authority, authority, signer, signer)
	for n, v := range f.vms {
		leaf := &x509.Certificate{
			SerialNumber: big.NewInt(int64(n + 2)), NotBefore: authority.NotBefore, NotAfter: authority.NotAfter,
			KeyUsage: x509.KeyUsageDigitalSignature,
		}
		key := f.newKey()
		f.writeCertificate(v.id+".cert", leaf, authority, key, signer)
		der, err := x509.MarshalECPrivateKey(key)
		if err != nil {
			f.t.Fatal(err)
		}
		f.writeFile(v.id+".key", string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der})))
		file := func(name string) string { return filepath.Join(f.dir, name) }
		v.adminTLS, err = peer.TLSFiles{CA: file("ca"), Cert: file(v.id + ".cert"), Key: file(v.id + ".key")}.Load()
		if err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *fleet) newKey() *ecdsa.PrivateKey {
	f.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		f.t.Fatal(err)
	}
	return key
}

func (f *fleet) writeCertificate(name string, c, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) {
	f.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		f.t.Fatal(err)
	}
	f.writeFile(name, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})))
}
