// Command review-2 runs one case of the second review. It starts the project's own programs as
// processes, with stand-ins for what is around them, and judges from outside whether a rule held.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases are the cases by name. The file of each enters it.
var cases = map[string]func(*lab) error{}

func main() {
	root := flag.String("root", ".", "folder of the repository")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil {
		fmt.Fprintln(os.Stderr, "review-2: no such case:", flag.Arg(0))
		os.Exit(2)
	}
	l, err := newLab(*root, *record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		os.Exit(2)
	}
	l.say("case %s, trouble %v", flag.Arg(0), l.trouble)
	os.Exit(l.finish(run(l)))
}
