package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// caller calls the nodes that serve control, as operators and databases do: it follows two redirects and moves on to the
// next node after a failure, a 5xx or a second without a response.
type caller struct {
	nodes []string
	next  int
}

var noRedirects = &http.Client{
	Timeout:       time.Second,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	Transport:     &http.Transport{DisableKeepAlives: true},
}

// call returns the status and the body of one attempt at one node.
func (c *caller) call(method, path string, body []byte) (status int, answer []byte, err error) {
	url := "http://" + c.nodes[c.next%len(c.nodes)] + path
	for range 3 {
		request, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := noRedirects.Do(request)
		if err != nil {
			c.next++
			return 0, nil, err
		}
		answer, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusTemporaryRedirect {
			url = response.Header.Get("Location")
			continue
		}
		if response.StatusCode >= http.StatusInternalServerError {
			c.next++
		}
		return response.StatusCode, answer, err
	}
	c.next++
	return 0, nil, errors.New("redirected too often")
}

// publish sends a configuration until it is acknowledged.
func (c *caller) publish(r *record, configuration any, within time.Duration) error {
	body, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, answer, err := c.call(http.MethodPut, "/trefoilcourse/config", body)
		switch {
		case err != nil || status >= http.StatusInternalServerError:
		case status == http.StatusOK:
			r.say("operator: sent %s", body)
			r.say("operator: acknowledged with 200")
			return nil
		default:
			return fmt.Errorf("the operator got %d: %s", status, answer)
		}
	}
	return errors.New("the operator got no ack")
}

type object = map[string]any

// configuration returns a configuration with one route for each kind and one service.
func configuration(version int, service string, more object) object {
	c := object{
		"version": version,
		"routes": []object{
			{"name": "r-1", "host": "orders", "path_prefix": "/", "kind": "primary", "timeout_ms": 1000, "target_latency_ms": 200, "priority": 1, "service": service, "attempts": 2},
			{"name": "r-2", "host": "lookup", "path_prefix": "/", "kind": "bounded_staleness", "timeout_ms": 2000, "target_latency_ms": 600, "priority": 2, "service": service, "attempts": 2, "max_staleness_ms": 1500},
			{"name": "r-3", "host": "progress", "path_prefix": "/", "kind": "read_your_writes", "timeout_ms": 1000, "target_latency_ms": 400, "priority": 2, "service": service, "attempts": 2, "max_staleness_ms": 2500},
		},
		"services": []object{{"name": service, "health_path": "/healthz", "max_conns": 44, "protocol": "h1", "tls": false, "sync_replicas": 0}},
		"limits":   object{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "txn_idle_ms": 3000},
	}
	for name, value := range more {
		c[name] = value
	}
	return c
}
