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

// caller calls nodes that serve control as the pages say: it follows a 307 twice and moves on to
// another node after a failure.
type caller struct {
	client http.Client
}

func newCaller() *caller {
	return &caller{client: http.Client{
		Timeout:       time.Second,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// call sends one request to one node and follows redirects.
func (c *caller) call(method, address, path string, body []byte) (int, []byte, error) {
	url := "http://" + address + path
	for range 3 {
		request, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := c.client.Do(request)
		if err != nil {
			return 0, nil, err
		}
		answer, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return response.StatusCode, answer, nil
		}
		url = response.Header.Get("Location")
	}
	return 0, nil, errors.New("too many redirects")
}

// route is a route of a configuration.
type route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Kind       string `json:"kind"`
	TimeoutMS  int    `json:"timeout_ms"`
	TargetMS   int    `json:"target_latency_ms"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"attempts"`
	Staleness  int    `json:"max_staleness_ms,omitempty"`
}

type service struct {
	Name         string `json:"name"`
	HealthPath   string `json:"health_path"`
	MaxConns     int    `json:"max_conns"`
	Protocol     string `json:"protocol"`
	TLS          bool   `json:"tls"`
	SyncReplicas int    `json:"sync_replicas"`
}

// configuration returns a document as in the example of the pages, with the routes of the site.
func configuration(version int, serviceName string, syncReplicas int) []byte {
	document := map[string]any{
		"version": version,
		"routes": []route{
			{Name: "r-1", Host: "entry-host", PathPrefix: "/", Kind: "primary", TimeoutMS: 1000, TargetMS: 200, Priority: 1, Service: serviceName, Attempts: 2},
			{Name: "r-2", Host: "lookup-host", PathPrefix: "/", Kind: "bounded_staleness", TimeoutMS: 2000, TargetMS: 600, Priority: 2, Service: serviceName, Attempts: 2, Staleness: 1500},
			{Name: "r-3", Host: "progress-host", PathPrefix: "/", Kind: "read_your_writes", TimeoutMS: 1000, TargetMS: 400, Priority: 2, Service: serviceName, Attempts: 2, Staleness: 2500},
		},
		"services": []service{{Name: serviceName, HealthPath: "/healthz", MaxConns: 44, Protocol: "h1", SyncReplicas: syncReplicas}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "txn_idle_ms": 3000},
	}
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return data
}

// publish sends a configuration until it is accepted.
func (f *fleet) publish(document []byte, limit time.Duration) error {
	c := newCaller()
	addresses := f.controlAddresses()
	for i, deadline := 0, time.Now().Add(limit); time.Now().Before(deadline); i++ {
		status, answer, err := c.call(http.MethodPut, addresses[i%len(addresses)], "/trefoilcourse/config", document)
		if err == nil && status == http.StatusOK {
			f.rec.say("configuration acknowledged")
			return nil
		}
		if err == nil && status == http.StatusBadRequest {
			return fmt.Errorf("the configuration is refused: %s", answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration is not acknowledged in time")
}
