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

// requireToken asks for the token, as a bearer token or as the password of
// basic authentication, which browsers know how to ask for.
func (s *Server) requireToken(next http.Handler) http.Handler {
	if s.Token == "" {
		return requireLoopback(next)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !tokensEqual(requestToken(r), s.Token) {
			w.Header().Set("WWW-Authenticate", `Basic realm="siskincross operators"`)
			writeProblem(w, http.StatusUnauthorized, "the operators' token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// requireLoopback refuses requests that arrived at an address that other hosts reach.
func requireLoopback(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !receivedOnLoopback(r) {
			writeProblem(w, http.StatusForbidden, "the operators' listener needs a token, except on the loopback network")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func receivedOnLoopback(r *http.Request) bool {
	address, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	parsed, err := netip.ParseAddrPort(address.String())
	return err == nil && parsed.Addr().Unmap().IsLoopback()
}

func requestToken(r *http.Request) string {
	if _, password, ok := r.BasicAuth(); ok {
		return password
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	return token
}

// tokensEqual compares in a time that tells nothing of where the texts differ or how long they are.
func tokensEqual(a, b string) bool {
	digestA, digestB := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(digestA[:], digestB[:]) == 1
}
