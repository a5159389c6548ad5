// Package lines writes log lines without blocking the goroutine that logs.
//
// Lines go through a bounded queue to one goroutine. When the output blocks, or more is logged than
// can be written, lines are dropped and counted; a line with their number precedes the next line
// that is written:
//
//	w := lines.New(os.Stdout)
//	logrus.SetOutput(w)
//	defer w.Close()
package lines
