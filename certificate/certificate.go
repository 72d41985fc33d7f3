// Package certificate speaks TLS's files: it serves and checks certificates that
// are read from PEM files, and reads them again when they change, so that keys
// are rotated without a restart.
//
// # Usage
//
//	files, err := certificate.Load("vm.crt", "vm.key", "ca.crt")
//	listener = tls.NewListener(listener, files.Server())
//	client := &http.Client{Transport: &http.Transport{TLSClientConfig: files.Client()}}
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// checkEvery is the time between two looks at the files.
const checkEvery = 5 * time.Second

// ErrNoCertificate reports an authority's file without a certificate.
const ErrNoCertificate = errors.ConstError("file holds no certificate")

// Reloader is a certificate with its key, and the authority that peers must have
// theirs from.
type Reloader struct {
	cert, key, authority string

	mu        sync.Mutex
	pair      *tls.Certificate
	pool      *x509.CertPool
	changed   time.Time // of the newest file when it was read
	checkedAt time.Time
}

// Load reads the files. Without cert and key it serves none; without authority
// it trusts the machine's.
func Load(cert, key, authority string) (f *Reloader, err error) {
	defer errors.DeferredAnnotatef(&err, "loading certificates")
	f = &Reloader{cert: cert, key: key, authority: authority, checkedAt: time.Now()}
	f.changed = f.newest()
	return f, f.read()
}

// read reads the files anew.
func (f *Reloader) read() (err error) {
	if f.cert != "" {
		pair, err := tls.LoadX509KeyPair(f.cert, f.key)
		if err != nil {
			return err
		}
		f.pair = &pair
	}
	if f.authority == "" {
		return nil
	}
	data, err := os.ReadFile(f.authority)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return errors.Annotate(ErrNoCertificate, f.authority)
	}
	f.pool = pool
	return nil
}

// newest returns the time at which the newest file was written.
func (f *Reloader) newest() (at time.Time) {
	for _, name := range []string{f.cert, f.key, f.authority} {
		if name == "" {
			continue
		}
		if info, err := os.Stat(name); err == nil && info.ModTime().After(at) {
			at = info.ModTime()
		}
	}
	return at
}

// current returns the certificate and the authorities in force. Files that were
// changed and cannot be read, as in the middle of a rotation, leave the old ones
// in force.
func (f *Reloader) current() (pair *tls.Certificate, pool *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.checkedAt) >= checkEvery {
		f.checkedAt = now
		if newest := f.newest(); newest.After(f.changed) && f.read() == nil {
			f.changed = newest
		}
	}
	return f.pair, f.pool
}

// ServerConfig returns the configuration of a listener.
func (f *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := f.current()
			return pair, nil
		},
	}
}

// ClientConfig returns the configuration of a client. It checks the server against
// the authorities in force at the time of the connection.
func (f *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The check below takes the place of the usual one, which could not
		// follow a rotation of the authority.
		InsecureSkipVerify: true,
		VerifyConnection:   f.verify,
	}
}

// verify checks a server's chain and name.
func (f *Reloader) verify(state tls.ConnectionState) (err error) {
	defer errors.DeferredAnnotatef(&err, "checking the certificate of %s", state.ServerName)
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	_, pool := f.current()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{DNSName: state.ServerName, Roots: pool, Intermediates: intermediates})
	return err
}
