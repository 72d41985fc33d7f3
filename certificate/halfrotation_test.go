package certificate_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"lentilmux.example/lentilmux/certificate"
)

// TestHalfRotationChangesNothing guards against a new certificate that comes into use
// beside the old CA, because the CA file is unusable in the middle of a rotation:
// the VM's own clients would reject its servers.
func TestHalfRotationChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		cert, key := writeCertificate(t, dir, 1)
		ca := filepath.Join(t.TempDir(), "ca.pem")
		data, err := os.ReadFile(cert)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(ca, data, 0o600); err != nil {
			t.Fatal(err)
		}
		reloader, err := certificate.Load(cert, key, ca)
		if err != nil {
			t.Fatal(err)
		}
		before, _ := reloader.ServerConfig().GetCertificate(nil)
		writeCertificate(t, dir, 2)
		if err := os.WriteFile(ca, []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
		later := time.Now().AddDate(100, 0, 0)
		for _, name := range []string{cert, key, ca} {
			if err := os.Chtimes(name, later, later); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Second)
		after, err := reloader.ServerConfig().GetCertificate(nil)
		if err != nil || !bytes.Equal(before.Certificate[0], after.Certificate[0]) {
			t.Errorf("the new certificate is in use without its CA, error %v", err)
		}
	})
}
