package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Files holds the paths of a certificate, its key and the authority that issues peers' certificates.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority may be empty if peers need no certificate.
	Authority string `json:"authority,omitempty"`
}

// Identity caches the content of certificate files; it is safe for concurrent use once Files is set.
type Identity struct {
	Files Files

	mu          sync.Mutex
	checked     time.Time
	stamps      [3]time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Check loads the files and returns an error that names the one that cannot be used.
func (i *Identity) Check() error {
	_, _, err := i.load()
	return err
}

// load returns the content of the files, reloaded after a change; if a changed file cannot be
// loaded, the content loaded before stays in use.
func (i *Identity) load() (*tls.Certificate, *x509.CertPool, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.certificate != nil && time.Since(i.checked) < checkInterval {
		return i.certificate, i.authority, nil
	}
	i.checked = time.Now()
	stamps := i.readStamps()
	if i.certificate != nil && stamps == i.stamps {
		return i.certificate, i.authority, nil
	}
	certificate, authority, err := i.Files.read()
	if err != nil && i.certificate == nil {
		return nil, nil, err
	}
	if err == nil {
		i.certificate, i.authority, i.stamps = certificate, authority, stamps
	}
	return i.certificate, i.authority, nil
}

func (i *Identity) readStamps() (stamps [3]time.Time) {
	for k, path := range []string{i.Files.Certificate, i.Files.Key, i.Files.Authority} {
		if info, err := os.Stat(path); err == nil {
			stamps[k] = info.ModTime()
		}
	}
	return stamps
}

func (f Files) read() (*tls.Certificate, *x509.CertPool, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("certificate %s with key %s: %w", f.Certificate, f.Key, err)
	}
	if f.Authority == "" {
		return &certificate, nil, nil
	}
	text, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, nil, fmt.Errorf("authority %s holds no certificate", f.Authority)
	}
	return &certificate, pool, nil
}

// MutualTLSConfig returns a server configuration that requires a valid client certificate.
func (i *Identity) MutualTLSConfig() *tls.Config { return i.server(tls.RequireAndVerifyClientCert) }

// OptionalClientCertConfig returns a server configuration that verifies a client
// certificate if one is sent.
func (i *Identity) OptionalClientCertConfig() *tls.Config {
	return i.server(tls.VerifyClientCertIfGiven)
}

// ServerTLSConfig returns a server configuration that requests no client certificate.
func (i *Identity) ServerTLSConfig() *tls.Config { return i.server(tls.NoClientCert) }

func (i *Identity) server(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authority, err := i.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*certificate},
				ClientCAs: authority, ClientAuth: auth,
			}, nil
		},
	}
}

// Dialer opens TLS connections with the certificate of Identity and verifies the peer's.
type Dialer struct {
	Identity *Identity
}

// DialContext opens a connection and completes the TLS handshake.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	certificate, authority, err := d.Identity.load()
	if err != nil {
		return nil, err
	}
	dialer := &tls.Dialer{Config: &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*certificate}, RootCAs: authority,
	}}
	return dialer.DialContext(ctx, network, address)
}
