package cancel_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/coord/cancel"
)

func TestKeyNamesSessionAndVM(t *testing.T) {
	is := is.New(t)
	key := cancel.KeyOf(7, cancel.NewSecret("e1", 0xbeef))
	is.Equal(key.ProcessID(), uint32(7))
	is.Equal(key.Hash(), cancel.Hash("e1"))
	is.True(cancel.Hash("e1") != cancel.Hash("e2"))
	is.Equal(cancel.KeyOf(7, []byte{1, 2, 3}), cancel.Key(0))
}
