package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"net/netip"
	"strings"
)

const bearerPrefix = "Bearer "

// requireToken refuses requests without the operators' token. It accepts a bearer
// token, or the password of basic authentication, which browsers prompt for.
// Without a configured token it serves loopback connections only.
func (s *Server) requireToken(next http.Handler) http.Handler {
	if s.Token == "" {
		return requireLoopback(next)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !tokensEqual(requestToken(r), s.Token) {
			w.Header().Set("WWW-Authenticate", `Basic realm="siskincross operators"`)
			writeProblem(w, http.StatusUnauthorized, "operator token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// requireLoopback refuses requests that were received on an address that other hosts can reach.
func requireLoopback(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !receivedOnLoopback(r) {
			writeProblem(w, http.StatusForbidden, "the operators' listener requires a token on addresses other than loopback")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// receivedOnLoopback reports whether the local address of the request's connection is a loopback address.
func receivedOnLoopback(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	parsed, err := netip.ParseAddrPort(local.String())
	return err == nil && parsed.Addr().Unmap().IsLoopback()
}

// requestToken returns the token that a request carries, or an empty string.
func requestToken(r *http.Request) string {
	if _, password, ok := r.BasicAuth(); ok {
		return password
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	return token
}

// tokensEqual compares two tokens in constant time. Comparing their digests also
// hides the lengths of the tokens.
func tokensEqual(a, b string) bool {
	digestA, digestB := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(digestA[:], digestB[:]) == 1
}
