package frame

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// TLSConfigs returns the TLS configurations of both sides of a session. It
// loads the certificate and key of this instance and the certificate authority
// of the fleet from PEM files. Both sides require TLS 1.3 and a certificate
// issued by that authority. Nodes dial IP addresses, so the client verifies the
// certificate chain but not the host name. Instead, the first DNS name of the
// certificate, or its common name if it has none, must be the instance name
// that the peer sends.
func TLSConfigs(certFile, keyFile, caFile string) (client, server *tls.Config, err error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, nil, err
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, nil, fmt.Errorf("%s: no certificate found", caFile)
	}
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
	}
	client = &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{cert},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain instead, without a host name
		VerifyConnection: func(cs tls.ConnectionState) error {
			return verifyServer(cs, roots)
		},
	}
	return client, server, nil
}

func verifyServer(cs tls.ConnectionState, roots *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// certName returns the instance name in the peer's certificate: its first DNS
// name, or its common name if it has no DNS name.
func certName(cs tls.ConnectionState) string {
	if len(cs.PeerCertificates) == 0 {
		return ""
	}
	c := cs.PeerCertificates[0]
	if len(c.DNSNames) > 0 {
		return c.DNSNames[0]
	}
	return c.Subject.CommonName
}
