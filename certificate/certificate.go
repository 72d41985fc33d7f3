// Package certificate provides TLS configurations from certificates and
// certificate authorities (CA) in PEM files. It reads the files again when they
// change, so that keys can be rotated without a restart.
//
// Reads the PEM files.
//
// # Usage
//
//	reloader, err := certificate.Load("vm.crt", "vm.key", "ca.crt")
//	listener = tls.NewListener(listener, reloader.ServerConfig())
//	client := &http.Client{Transport: &http.Transport{TLSClientConfig: reloader.ClientConfig()}}
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// checkInterval is the minimum time between two checks whether the files have
// changed. A check takes place when a connection needs a certificate.
const checkInterval = 5 * time.Second

// ErrNoCertificate reports a CA file without a certificate, or a server that
// presented none.
const ErrNoCertificate = errors.ConstError("no certificate found")

// Reloader holds a certificate with its key and the CA that verifies the
// certificates of servers, and reloads them when their files change. It is safe
// for concurrent use.
type Reloader struct {
	certFile, keyFile, caFile string

	mu          sync.Mutex
	certificate *tls.Certificate
	roots       *x509.CertPool
	modTime     time.Time // latest modification time of the files in use
	checkedAt   time.Time
}

// Load reads the PEM files. If certFile is empty, there is no certificate to
// serve. If caFile is empty, servers are verified with the system's CAs.
func Load(certFile, keyFile, caFile string) (r *Reloader, err error) {
	defer errors.DeferredAnnotatef(&err, "loading certificates")
	r = &Reloader{certFile: certFile, keyFile: keyFile, caFile: caFile, checkedAt: time.Now()}
	r.modTime = r.latestModTime()
	return r, r.readFiles()
}

// readFiles reads the certificate with its key, and the CA. If a file cannot be
// used, the previous versions of all stay in use.
func (r *Reloader) readFiles() (err error) {
	certificate, roots := r.certificate, r.roots
	if r.certFile != "" {
		pair, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
		if err != nil {
			return err
		}
		certificate = &pair
	}
	if r.caFile != "" {
		data, err := os.ReadFile(r.caFile)
		if err != nil {
			return err
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(data) {
			return errors.Annotate(ErrNoCertificate, r.caFile)
		}
	}
	r.certificate, r.roots = certificate, roots
	return nil
}

// latestModTime returns the latest modification time of the files. Missing
// files are left out.
func (r *Reloader) latestModTime() (latest time.Time) {
	for _, name := range []string{r.certFile, r.keyFile, r.caFile} {
		if name == "" {
			continue
		}
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the certificate and the CAs in use, after reloading them if
// their files have changed. If the changed files cannot be used, for example in
// the middle of a rotation, the previous ones stay in use and the next check
// tries again.
func (r *Reloader) current() (certificate *tls.Certificate, roots *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.checkedAt) >= checkInterval {
		r.checkedAt = now
		if newest := r.latestModTime(); newest.After(r.modTime) && r.readFiles() == nil {
			r.modTime = newest
		}
	}
	return r.certificate, r.roots
}

// ServerConfig returns the TLS configuration of a listener. Each connection
// gets the certificate in use at its start.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := r.current()
			return certificate, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a client. It verifies each
// server with the CAs in use at the time of the connection.
func (r *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection replaces the default verification, whose CAs are
		// fixed and could not follow a rotation of the CA.
		InsecureSkipVerify: true,
		VerifyConnection:   r.verify,
	}
}

// verify verifies the certificate chain and the name of a server.
func (r *Reloader) verify(state tls.ConnectionState) (err error) {
	defer errors.DeferredAnnotatef(&err, "verifying the certificate of %s", state.ServerName)
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	_, roots := r.current()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{DNSName: state.ServerName, Roots: roots, Intermediates: intermediates})
	return err
}
