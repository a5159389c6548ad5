package burn

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	variablesPath  = "/debug/vars"
	variablePrefix = "trefoil-entry-"
	maxBodyBytes   = 16 << 20
	maxLineBytes   = 1 << 20
)

// Sample is one service's counters in one life of one daemon at one time.
type Sample struct {
	Time    time.Time `json:"time"`
	VM      string    `json:"vm"`
	Life    string    `json:"life"`
	Service string    `json:"service"`
	Good    int64     `json:"good"`
	Bad     int64     `json:"bad"`
}

type variables struct {
	Life     string `json:"life"`
	Services map[string]struct {
		Good int64 `json:"good"`
		Bad  int64 `json:"bad"`
	} `json:"services"`
}

// Scrape reads the counters of the entry VM whose HTTP address is url.
func Scrape(ctx context.Context, client *http.Client, url string) ([]Sample, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(url, "/")+variablesPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answers %s", url, response.Status)
	}
	var all map[string]json.RawMessage
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&all); err != nil {
		return nil, fmt.Errorf("counters of %s: %w", url, err)
	}
	now := time.Now()
	var samples []Sample
	for name, value := range all {
		vm, ok := strings.CutPrefix(name, variablePrefix)
		if !ok {
			continue
		}
		var v variables
		if err := json.Unmarshal(value, &v); err != nil {
			return nil, fmt.Errorf("counters of %s: %w", vm, err)
		}
		for service, c := range v.Services {
			samples = append(samples, Sample{Time: now, VM: vm, Life: v.Life, Service: service, Good: c.Good, Bad: c.Bad})
		}
	}
	return samples, nil
}

// Read reads samples, one JSON object a line.
func Read(r io.Reader) ([]Sample, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var samples []Sample
	for line := 1; scanner.Scan(); line++ {
		var s Sample
		if err := json.Unmarshal(scanner.Bytes(), &s); err != nil {
			return nil, fmt.Errorf("line %d of the record: %w", line, err)
		}
		samples = append(samples, s)
	}
	return samples, scanner.Err()
}

// Write appends samples, one JSON object a line.
func Write(w io.Writer, samples []Sample) error {
	encoder := json.NewEncoder(w)
	for _, s := range samples {
		if err := encoder.Encode(s); err != nil {
			return err
		}
	}
	return nil
}
