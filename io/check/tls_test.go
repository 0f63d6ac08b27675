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

// writeKeys writes an authority, and a certificate and key for each VM.
func (w *world) writeKeys() {
	w.t.Helper()
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	signer := w.key()
	w.writeCertificate("ca", authority, authority, signer, signer)
	for n, v := range w.vms {
		leaf := &x509.Certificate{
			SerialNumber: big.NewInt(int64(n + 2)), NotBefore: authority.NotBefore, NotAfter: authority.NotAfter,
			KeyUsage: x509.KeyUsageDigitalSignature,
		}
		key := w.key()
		w.writeCertificate(v.id+".cert", leaf, authority, key, signer)
		der, err := x509.MarshalECPrivateKey(key)
		if err != nil {
			w.t.Fatal(err)
		}
		w.write(v.id+".key", string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der})))
		file := func(name string) string { return filepath.Join(w.dir, name) }
		v.keys, err = peer.Keys{Authority: file("ca"), Certificate: file(v.id + ".cert"), Key: file(v.id + ".key")}.Load()
		if err != nil {
			w.t.Fatal(err)
		}
	}
}

func (w *world) key() *ecdsa.PrivateKey {
	w.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		w.t.Fatal(err)
	}
	return key
}

func (w *world) writeCertificate(name string, c, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) {
	w.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		w.t.Fatal(err)
	}
	w.write(name, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})))
}
