package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"trefoilcourse/coord/config"
	"trefoilcourse/wire"
)

const fileSuffix = ".hujson"

// readObjects reads files, and the *.hujson files of folders, and checks them as one set. It
// writes every fault to w; ok is false when there was one.
func readObjects(w io.Writer, paths []string) (objects []*wire.Object, ok bool, err error) {
	files, err := expand(paths)
	if err != nil {
		return nil, false, err
	}
	var parsed []config.ParsedObject
	var faults []config.Fault
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, false, err
		}
		p, f := config.Parse(file, text)
		parsed = append(parsed, p...)
		faults = append(faults, f...)
	}
	set, more := config.Check(parsed)
	faults = append(faults, more...)
	for _, f := range faults {
		fmt.Fprintln(w, f)
	}
	warn(w, set)
	for _, p := range parsed {
		objects = append(objects, &wire.Object{Kind: p.Key().Kind, Name: p.Key().Name, Body: p.Body()})
	}
	return objects, len(faults) == 0, nil
}

// checkedObjects reads and checks files; faults end a command before it changes anything.
func checkedObjects(c *cobra.Command, paths []string) ([]*wire.Object, error) {
	objects, ok, err := readObjects(c.ErrOrStderr(), paths)
	switch {
	case err != nil:
		return nil, failed(err)
	case !ok:
		return nil, failed(errFaults)
	}
	return objects, nil
}

// warn names what is allowed and has a price.
func warn(w io.Writer, set *config.Set) {
	var names []string
	for name, g := range set.Groups {
		if !g.NeedsMajority() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, "warning: database-group/%s acknowledges writes that only its primary has; they are lost with it\n", name)
	}
}

func expand(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		found, err := filepath.Glob(filepath.Join(path, "*"+fileSuffix))
		if err != nil {
			return nil, err
		}
		if len(found) == 0 {
			return nil, fmt.Errorf("folder %s has no %s file", path, fileSuffix)
		}
		files = append(files, found...)
	}
	return files, nil
}
