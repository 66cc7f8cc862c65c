package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"siskincross/io/settings"
)

// mutualTLS returns the function that reads the peers' certificate, key and
// authority, or nil when the settings name none. The files are read at each
// call, so that replaced keys take effect with the next connection.
func mutualTLS(s settings.Peers) func() (*tls.Config, error) {
	if s.Certificate == "" {
		return nil
	}
	return func() (*tls.Config, error) {
		certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
		if err != nil {
			return nil, errors.Wrap(err, "read the peers' certificate")
		}
		authority, err := os.ReadFile(s.Authority)
		if err != nil {
			return nil, errors.Wrap(err, "read the peers' authority")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(authority) {
			return nil, errors.Newf("%s holds no PEM certificate", s.Authority)
		}
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{certificate},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    pool,
			RootCAs:      pool,
		}, nil
	}
}
