package view_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/coord/directory"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/wire"
	"trefoilcourse/wire/packed"
)

var start = time.Unix(1000, 0)

func database(name string, milliseconds int) *wire.Object {
	return &wire.Object{Kind: "database", Name: name, Body: fmt.Appendf(nil, `{"group":"g","consistency":"primary","statement-milliseconds":%d}`, milliseconds)}
}

func renewalResponse(version uint64, objects ...*wire.Object) *wire.RenewResponse {
	return &wire.RenewResponse{
		Accepted: true, ControlTerm: 1, LeaseMilliseconds: 2000, ConfigurationVersion: version,
		DirectoryEpoch: 1, DirectoryRevision: 1, Objects: objects,
	}
}

func changesResponse(t *testing.T, version uint64, objects ...*wire.Object) *wire.ChangesResponse {
	data, err := packed.Marshal(&wire.Objects{Objects: objects})
	if err != nil {
		t.Fatal(err)
	}
	return &wire.ChangesResponse{Version: version, Packed: data}
}

func statementMilliseconds(v *view.View, name string) int {
	d, _, _, _ := v.Database(name)
	return d.StatementMilliseconds
}

// TestOutdatedConfigurationIsNotConfirmed: a VM that knows of a newer configuration but cannot fetch
// it must stop accepting work before operators may rely on the change.
func TestOutdatedConfigurationIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	now := start
	v := view.New()
	v.Clock = func() time.Time { return now }
	v.ApplyRenewal(now, renewalResponse(1, database("d", 100)))
	is.True(v.Confirmed())

	separate := renewalResponse(2)
	separate.ChangesApart = true
	v.ApplyRenewal(now, separate)
	is.Equal(v.Version(), uint64(1))
	now = now.Add(view.OutdatedAfter - time.Millisecond)
	v.ApplyRenewal(now, separate)
	is.True(v.Confirmed()) // OutdatedAfter has not passed yet
	now = now.Add(time.Millisecond)
	is.True(!v.Confirmed())
	is.True(v.Outdated())

	count, err := v.ApplyChanges(changesResponse(t, 2, database("d", 200)))
	is.NoErr(err)
	is.Equal(count, 1)
	is.True(v.Confirmed())
	is.Equal(statementMilliseconds(v, "d"), 200)
}

// TestConfigurationNeverGoesBack: a renewal response that was in flight while newer changes were
// fetched separately must not overwrite them.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	v := view.New()
	v.Clock = func() time.Time { return start }
	v.ApplyRenewal(start, renewalResponse(1, database("d", 100)))
	_, err := v.ApplyChanges(changesResponse(t, 3, database("d", 300)))
	is.NoErr(err)
	v.ApplyRenewal(start, renewalResponse(2, database("d", 200)))
	is.Equal(statementMilliseconds(v, "d"), 300)
	is.Equal(v.Version(), uint64(3))
	_, err = v.ApplyChanges(changesResponse(t, 2, database("d", 200)))
	is.NoErr(err)
	is.Equal(statementMilliseconds(v, "d"), 300)
	is.True(!v.Outdated())
}

func TestUndecodableChangesAreRejected(t *testing.T) {
	is := is.New(t)
	v := view.New()
	v.ApplyRenewal(start, renewalResponse(1, database("d", 100)))
	_, err := v.ApplyChanges(&wire.ChangesResponse{Version: 9, Packed: []byte("broken")})
	is.True(err != nil)
	is.Equal(v.Version(), uint64(1))
}

// TestDigestsGoToTheNextLeader checks that a VM tells a leader of a new term what it holds, once, and
// asks again for a directory that does not decode.
func TestDigestsGoToTheNextLeader(t *testing.T) {
	is := is.New(t)
	v := view.New()
	digests := func() int {
		request := &wire.RenewRequest{}
		v.FillVersions(request)
		return len(request.GetDirectoryDigests())
	}
	response := renewalResponse(1)
	response.Groups = []*wire.GroupState{{Group: "g", Term: 1}}
	is.True(v.ApplyRenewal(start, response))
	is.Equal(digests(), 0)

	is.True(v.ApplyRenewal(start, &wire.RenewResponse{Accepted: true, ControlTerm: 2, ConfigurationVersion: 1}))
	is.True(v.Group("g") != nil) // still held
	is.Equal(digests(), directory.Parts)

	broken := renewalResponse(1)
	broken.ControlTerm, broken.DirectoryEpoch, broken.DirectoryPacked = 2, 2, []byte("no such thing")
	is.True(!v.ApplyRenewal(start, broken))
	is.True(v.Group("g") != nil)
	is.Equal(digests(), directory.Parts)

	whole := renewalResponse(1)
	whole.ControlTerm, whole.DirectoryEpoch, whole.DirectoryParts = 2, 2, nil
	is.True(v.ApplyRenewal(start, whole))
	is.Equal(digests(), 0)
}
