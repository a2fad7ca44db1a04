package gateway

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"dunlintray/rules"
)

// originForm returns the origin form (path and query) of a request target, which may be
// in absolute form.
func originForm(target string) string {
	if _, rest, absolute := strings.Cut(target, "://"); absolute && !strings.HasPrefix(target, "/") {
		_, path, _ := strings.Cut(rest, "/")
		if query := strings.IndexByte(rest, '?'); query >= 0 && query < len(rest)-len(path)-1 {
			path = rest[query:] // a query without a path
		}
		return "/" + path
	}
	return target
}

// parseRequest parses the headers that the decision module needs. No header has a default:
// a misread request could be charged to the wrong customer or retried against the rules
// of its class.
func (s *serviceConfig) parseRequest(r *http.Request) (rules.Request, error) {
	var request rules.Request
	header := r.Header
	if id := header.Get(idHeader); id == "" || len(id) > maxIDBytes {
		return request, errors.New(idHeader + " is missing or too long")
	}
	class := header.Get(classHeader)
	if request.Class = slices.Index(s.ClassNames, class); request.Class < 0 {
		return request, errors.New(classHeader + " names no class")
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != class || strings.HasPrefix(r.RequestURI, "//") {
		return request, errors.New("the path is not one of the class")
	}
	if request.Plan = slices.Index(s.PlanNames, header.Get(planHeader)); request.Plan < 0 {
		return request, errors.New(planHeader + " names no plan")
	}
	customer := header.Get(customerHeader)
	id, err := strconv.ParseUint(customer, 16, 64)
	if err != nil || len(customer) != 16 || id >= customerIDLimit {
		return request, errors.New(customerHeader + " is not the number of a customer")
	}
	request.Customer = rules.CustomerID(id)
	timeLeft, err := strconv.ParseInt(header.Get(timeLeftHeader), 10, 64)
	if err != nil || timeLeft <= 0 || timeLeft > maxClientTimeout.Milliseconds() {
		return request, errors.New(timeLeftHeader + " is not a time in milliseconds")
	}
	request.Deadline = float64(timeLeft) / 1000 // seconds after the last byte
	request.ClientRetry = header.Get(clientRetryHeader) == "1"
	return request, s.parseTerms(&request, header.Get(termsHeader))
}

// parseTerms parses the units of a request and the gateways that serve its customer.
func (s *serviceConfig) parseTerms(request *rules.Request, text string) error {
	for part := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var err error
		switch key {
		case "units":
			request.Units, err = strconv.ParseFloat(value, 64)
		case "spread":
			request.GatewayCount, err = strconv.Atoi(value)
		case "first":
			request.FirstGateway, err = strconv.Atoi(value)
		}
		if err != nil {
			return fmt.Errorf("%s: %s is not a number", termsHeader, key)
		}
	}
	maxUnits := s.MaxUnits
	if maxUnits <= 0 {
		maxUnits = math.MaxInt32
	}
	if !(request.Units > 0 && request.Units <= maxUnits) || request.GatewayCount < 1 || request.GatewayCount > s.Fleet ||
		request.FirstGateway < 0 || request.FirstGateway >= s.Fleet {
		return errors.New(termsHeader + ": units, spread or first is missing or out of range")
	}
	return nil
}

// hopByHopHeaders are the headers that are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// endToEndHeaders removes the hop-by-hop headers from h, including those that Connection
// lists, and returns h.
func endToEndHeaders(h http.Header) http.Header {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != idHeader && name != idempotencyHeader {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	return h
}

// forwardableTrailers returns the end-to-end trailers in h, or nil if there are none.
func forwardableTrailers(h http.Header) http.Header {
	var kept http.Header
	for name, values := range h {
		if len(values) > 0 && !slices.Contains(hopByHopHeaders, name) {
			if kept == nil {
				kept = http.Header{}
			}
			kept[name] = values
		}
	}
	return kept
}
