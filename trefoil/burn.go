package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"trefoilcourse/coord/config"
	"trefoilcourse/trefoil/internal/burn"
	"trefoilcourse/trefoil/internal/control"
)

const (
	scrapeTimeout    = 5 * time.Second
	usualObjective   = 99.9
	recordPermission = 0o600
)

type burnFlags struct {
	connection
	entries   []string
	objective float64
	record    string
	page      string
	watch     time.Duration
}

func newBurn() *cobra.Command {
	var f burnFlags
	c := &cobra.Command{
		Use:   "burn --entries URL,URL...",
		Short: "Report how fast services use up what their objectives allow to fail",
		Long: `Reads the counters of the entry VMs, adds them to the record if one is named, and reports
over several windows. Objectives are those of the configuration if control VMs are named. With
--watch it goes on doing so; run it where the record is kept. What an entry VM counted after its
last sample and before it stopped is lost; nothing is counted twice.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runBurn(c, &f) },
	}
	f.register(c)
	c.Flags().StringSliceVar(&f.entries, "entries", nil, "HTTP addresses of entry VMs, as URLs")
	c.Flags().Float64Var(&f.objective, "objective", usualObjective, "percentage that shall be good, for services without an objective")
	c.Flags().StringVar(&f.record, "record", "", "file that keeps the samples")
	c.Flags().StringVar(&f.page, "html", "", "file to write a page with a picture to")
	c.Flags().DurationVar(&f.watch, "watch", 0, "sample again after this time, for ever")
	return c
}

func runBurn(c *cobra.Command, f *burnFlags) error {
	if len(f.entries) == 0 {
		return errors.New("no entry VM is named; give --entries http://HOST:PORT[,...]")
	}
	for {
		if err := burnOnce(c, f); err != nil {
			return failed(err)
		}
		if f.watch <= 0 {
			return nil
		}
		select {
		case <-c.Context().Done():
			return nil
		case <-time.After(f.watch):
		}
	}
}

func burnOnce(c *cobra.Command, f *burnFlags) error {
	samples, err := scrapeAll(c, f)
	if err != nil {
		return err
	}
	samples, err = keep(f.record, samples)
	if err != nil {
		return err
	}
	services := burn.Report(time.Now(), samples, f.objectives(c), f.objective)
	if f.page != "" {
		if err := writePage(f.page, services); err != nil {
			return err
		}
	}
	if f.asJSON {
		return json.NewEncoder(c.OutOrStdout()).Encode(services)
	}
	burn.Text(c.OutOrStdout(), services)
	return nil
}

// scrapeAll samples every entry VM; those that do not answer are named and left out.
func scrapeAll(c *cobra.Command, f *burnFlags) ([]burn.Sample, error) {
	client := &http.Client{Timeout: scrapeTimeout}
	var samples []burn.Sample
	answered := 0
	for _, url := range f.entries {
		s, err := burn.Scrape(c.Context(), client, url)
		if err != nil {
			fmt.Fprintln(c.ErrOrStderr(), "no sample:", err)
			continue
		}
		answered++
		samples = append(samples, s...)
	}
	if answered == 0 {
		return nil, errors.New("no entry VM gave its counters")
	}
	return samples, nil
}

// keep appends samples to the record and returns all that it holds.
func keep(path string, samples []burn.Sample) ([]burn.Sample, error) {
	if path == "" {
		return samples, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, recordPermission)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	earlier, err := readRecord(file)
	if err != nil {
		return nil, err
	}
	if err := burn.Write(file, samples); err != nil {
		return nil, err
	}
	return append(earlier, samples...), file.Sync()
}

// readRecord reads the whole lines of a record and drops a last one that was cut short.
func readRecord(file *os.File) ([]burn.Sample, error) {
	text, err := io.ReadAll(file)
	if err != nil {
		return nil, err
	}
	whole := text[:bytes.LastIndexByte(text, '\n')+1]
	if err := file.Truncate(int64(len(whole))); err != nil {
		return nil, err
	}
	return burn.Read(bytes.NewReader(whole))
}

// objectives reads the services' objectives from the configuration, if it can be asked.
func (f *burnFlags) objectives(c *cobra.Command) map[string]float64 {
	objectives := map[string]float64{}
	if len(f.addresses) == 0 {
		return objectives
	}
	err := f.run(c, func(ctx context.Context, client *control.Client) error {
		current, err := client.Configuration(ctx)
		if err != nil {
			return err
		}
		set := config.NewSet()
		for _, o := range current.GetObjects() {
			if err := set.Put(config.Key{Kind: o.GetKind(), Name: o.GetName()}, o.GetBody()); err != nil {
				return err
			}
		}
		for name, service := range set.Services {
			if objective, ok := set.Objectives[service.Objective]; ok {
				objectives[name] = objective.AvailabilityPercent
			}
		}
		return nil
	})
	if err != nil {
		fmt.Fprintln(c.ErrOrStderr(), "objectives are not known:", err)
	}
	return objectives
}

func writePage(path string, services []burn.Service) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := burn.HTML(file, services); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
