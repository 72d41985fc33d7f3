package certificate_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"lentilmux.example/lentilmux/certificate"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key
// to dir and returns the paths of the files. The certificate is also its own
// CA.
func writeCertificate(t *testing.T, dir string, serial int64) (certFile, keyFile string) {
	t.Helper()
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	certData, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	if err != nil {
		t.Fatal(err)
	}
	keyData, err := x509.MarshalECPrivateKey(privateKey)
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile = filepath.Join(dir, "vm.crt"), filepath.Join(dir, "vm.key")
	for name, block := range map[string]*pem.Block{certFile: {Type: "CERTIFICATE", Bytes: certData}, keyFile: {Type: "EC PRIVATE KEY", Bytes: keyData}} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return certFile, keyFile
}

// TestClientVerifiesServer guards against a client that accepts any server,
// since the default verification is switched off. The server must be accepted
// under its own CA and rejected under another one.
func TestClientVerifiesServer(t *testing.T) {
	cert, key := writeCertificate(t, t.TempDir(), 1)
	reloader, err := certificate.Load(cert, key, cert)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Listener = tls.NewListener(server.Listener, reloader.ServerConfig())
	server.Start()
	defer server.Close()
	addr := "https://" + server.Listener.Addr().String()

	client := http.Client{Transport: &http.Transport{TLSClientConfig: reloader.ClientConfig()}}
	response, err := client.Get(addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()

	otherCert, otherKey := writeCertificate(t, t.TempDir(), 2)
	otherReloader, err := certificate.Load(otherCert, otherKey, otherCert)
	if err != nil {
		t.Fatal(err)
	}
	client = http.Client{Transport: &http.Transport{TLSClientConfig: otherReloader.ClientConfig()}}
	if response, err := client.Get(addr); err == nil {
		_ = response.Body.Close()
		t.Error("client accepted a server whose certificate is from another CA")
	}
}

// TestLoadRejectsUnusableFiles loads missing files, and a key in place of the
// CA certificate. Load must fail rather than return a Reloader without a
// certificate or CA.
func TestLoadRejectsUnusableFiles(t *testing.T) {
	cert, key := writeCertificate(t, t.TempDir(), 1)
	for _, files := range [][3]string{{"none", key, ""}, {cert, "none", ""}, {cert, key, "none"}, {cert, key, key}} {
		if _, err := certificate.Load(files[0], files[1], files[2]); err == nil {
			t.Errorf("Load accepted %v, expected an error", files)
		}
	}
}

// TestRotationWithoutRestart replaces the files and expects the new certificate
// after the check interval. It guards against a server that serves its first
// certificate until a restart.
func TestRotationWithoutRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		cert, key := writeCertificate(t, dir, 1)
		reloader, err := certificate.Load(cert, key, cert)
		if err != nil {
			t.Fatal(err)
		}
		server := reloader.ServerConfig()
		before, err := server.GetCertificate(nil)
		if err != nil {
			t.Fatal(err)
		}
		writeCertificate(t, dir, 2)
		later := time.Now().AddDate(100, 0, 0)
		for _, name := range []string{cert, key} {
			if err := os.Chtimes(name, later, later); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Second)
		after, err := server.GetCertificate(nil)
		if err != nil || bytes.Equal(before.Certificate[0], after.Certificate[0]) {
			t.Errorf("previous certificate is still served 10 s after rotation, error %v", err)
		}
	})
}
