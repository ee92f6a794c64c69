package agent

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/setup"
)

// unavailableLog is a log service that fails every request.
type unavailableLog struct{}

func (unavailableLog) Append(context.Context, string, ...[]byte) (uint64, error) {
	return 0, &logsvc.StatusError{Status: http.StatusServiceUnavailable}
}

func (unavailableLog) Read(context.Context, string, uint64, int, time.Duration) (logsvc.Batch, error) {
	return logsvc.Batch{}, &logsvc.StatusError{Status: http.StatusServiceUnavailable}
}

func testSettings() setup.Node {
	cfg := setup.Default()
	const loopback = "127.0.0.1:0"
	cfg.Instance = setup.Instance{Name: "localhost", Zone: "z"}
	cfg.Listen = setup.Listen{Callers: loopback, Local: loopback, Peers: loopback, Operations: loopback}
	cfg.Peers.Secret = "sixteen bytes or more"
	return cfg
}

// TestCallerProtocols guards against a configured certificate for callers that is
// not used, and against a listener that lacks HTTP/1.1 or HTTP/2, with or without
// TLS.
func TestCallerProtocols(t *testing.T) {
	ca := newAuthority(t)
	files := ca.issue(t, "localhost").TLS
	roots := x509.NewCertPool()
	roots.AddCert(ca.cert)
	for _, c := range []struct {
		name  string
		tls   bool
		http2 bool
	}{
		{"HTTP/1.1", false, false},
		{"HTTP/2 without TLS", false, true},
		{"HTTP/1.1 with TLS", true, false},
		{"HTTP/2 with TLS", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testSettings()
			scheme := "http://"
			if c.tls {
				cfg.CallersTLS = setup.TLSFiles{Cert: files.Cert, Key: files.Key}
				scheme = "https://"
			}
			a, err := New(cfg, WithLog(unavailableLog{}))
			assert.NilError(t, err)
			defer a.Kill()
			p := new(http.Protocols)
			p.SetHTTP1(!c.http2)
			p.SetHTTP2(c.http2 && c.tls)
			p.SetUnencryptedHTTP2(c.http2 && !c.tls)
			tr := &http.Transport{Protocols: p, TLSClientConfig: &tls.Config{RootCAs: roots, ServerName: "localhost", MinVersion: tls.VersionTLS12}}
			defer tr.CloseIdleConnections()
			resp, err := (&http.Client{Transport: tr}).Get(scheme + a.Addrs().Callers + "/")
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			var problem refuse.Problem
			assert.NilError(t, json.NewDecoder(resp.Body).Decode(&problem))
			assert.Equal(t, problem.Type, refuse.TypePrefix+string(refuse.NotReady))
			assert.Equal(t, resp.ProtoMajor == 2, c.http2)
		})
	}
}

// TestBadCallerCertificate guards against starting with a certificate that can't
// be read.
func TestBadCallerCertificate(t *testing.T) {
	cfg := testSettings()
	cfg.CallersTLS = setup.TLSFiles{Cert: "missing.pem", Key: "missing.key"}
	_, err := New(cfg, WithLog(unavailableLog{}))
	assert.ErrorContains(t, err, "missing.pem")
}
