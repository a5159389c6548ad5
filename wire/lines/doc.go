// Package lines writes log lines without ever making who logs wait.
//
// Lines go through a bounded queue to one goroutine. When nobody reads the output, or more is
// logged than can be written, lines are dropped and counted; the next line that is written says
// how many:
//
//	w := lines.New(os.Stdout)
//	logrus.SetOutput(w)
//	defer w.Close()
package lines
