package statement_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/coord/statement"
)

func TestClassify(t *testing.T) {
	cases := map[string]statement.Class{
		"select 1":                       statement.Read,
		"  -- why\n/* who */ (SELECT 1)": statement.Read,
		"select * from t for update":     statement.Write,
		"select 1; select 2":             statement.Write,
		"select 1;":                      statement.Read,
		"with x as (delete from t returning 1) select 1": statement.Write,
		"insert into t values (';')":                     statement.Write,
		"begin":                                          statement.Begin,
		"START TRANSACTION READ ONLY":                    statement.BeginReadOnly,
		"commit":                                         statement.End,
		"rollback to savepoint a":                        statement.Write,
		"set search_path = x":                            statement.SessionState,
		"set local search_path = x":                      statement.Write,
		"select 1; set search_path = x":                  statement.SessionState,
		"listen a":                                       statement.SessionState,
		"create temp table t (a int)":                    statement.SessionState,
		"create table t (a int)":                         statement.Write,
		"select pg_advisory_lock(1)":                     statement.SessionState,
		"select pg_advisory_xact_lock(1)":                statement.Read,
		"declare c cursor with hold for select 1":        statement.SessionState,
		"prepare transaction 'x'":                        statement.Write,
		"SET trefoil.floor = '1/2'":                      statement.Setting,
		"show trefoil.floor":                             statement.Setting,
		"show server_version":                            statement.Read,
		"":                                               statement.Empty,
		"/* nothing":                                     statement.Empty,
		"vacuum":                                         statement.Write,
		"-- why\rdelete from t":                          statement.Write,
		"-- why\rdelete from t where a in (\nselect 1)":  statement.Write,
		"select 1 -- \r; delete from t":                  statement.Write,
		"-- why\r\nselect 1":                             statement.Read,
	}
	for text, want := range cases {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			is.Equal(statement.Classify(text), want)
		})
	}
}

func TestParseSetting(t *testing.T) {
	is := is.New(t)
	name, value, show := statement.ParseSetting("SET trefoil.request_key TO 'a b'")
	is.Equal(name, "request_key")
	is.Equal(value, "a b")
	is.True(!show)
	name, _, show = statement.ParseSetting("show trefoil.floor;")
	is.Equal(name, "floor")
	is.True(show)
}

func FuzzClassify(f *testing.F) {
	f.Add("select 1")
	f.Add("/* ( -- \n ;")
	f.Fuzz(func(_ *testing.T, text string) {
		statement.Classify(text)
		statement.ParseSetting(text)
		statement.MayCommit(text)
	})
}
