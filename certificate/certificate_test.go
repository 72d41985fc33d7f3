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

// write makes a self-signed certificate for 127.0.0.1 and its key.
func write(t *testing.T, dir string, serial int64) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	data, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	keyData, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	cert, key = filepath.Join(dir, "vm.crt"), filepath.Join(dir, "vm.key")
	for name, block := range map[string]*pem.Block{cert: {Type: "CERTIFICATE", Bytes: data}, key: {Type: "EC PRIVATE KEY", Bytes: keyData}} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return cert, key
}

func TestServerIsChecked(t *testing.T) {
	cert, key := write(t, t.TempDir(), 1)
	files, err := certificate.Load(cert, key, cert)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Listener = tls.NewListener(server.Listener, files.ServerConfig())
	server.Start()
	defer server.Close()
	addr := "https://" + server.Listener.Addr().String()

	client := http.Client{Transport: &http.Transport{TLSClientConfig: files.ClientConfig()}}
	response, err := client.Get(addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()

	other, otherKey := write(t, t.TempDir(), 2)
	strangers, err := certificate.Load(other, otherKey, other)
	if err != nil {
		t.Fatal(err)
	}
	client = http.Client{Transport: &http.Transport{TLSClientConfig: strangers.ClientConfig()}}
	if response, err := client.Get(addr); err == nil {
		_ = response.Body.Close()
		t.Error("a server of another authority was trusted")
	}
}

func TestMissingFiles(t *testing.T) {
	cert, key := write(t, t.TempDir(), 1)
	for _, files := range [][3]string{{"none", key, ""}, {cert, "none", ""}, {cert, key, "none"}, {cert, key, key}} {
		if _, err := certificate.Load(files[0], files[1], files[2]); err == nil {
			t.Errorf("%v was loaded", files)
		}
	}
}

func TestRotationNeedsNoRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		cert, key := write(t, dir, 1)
		files, err := certificate.Load(cert, key, cert)
		if err != nil {
			t.Fatal(err)
		}
		server := files.ServerConfig()
		before, err := server.GetCertificate(nil)
		if err != nil {
			t.Fatal(err)
		}
		write(t, dir, 2)
		later := time.Now().AddDate(100, 0, 0)
		for _, name := range []string{cert, key} {
			if err := os.Chtimes(name, later, later); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Second)
		after, err := server.GetCertificate(nil)
		if err != nil || bytes.Equal(before.Certificate[0], after.Certificate[0]) {
			t.Errorf("the old certificate is still served, %v", err)
		}
	})
}
