// Command standin plays the cases of this review: it starts the project's own
// processes as the deploy file does and stands in for clients, servers, the
// operator and the platform's list.
//
// It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*fleet) (broken bool, err error){"early": early, "upload": upload, "idle": idle, "handover": handover}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("unknown case")
		os.Exit(2)
	}
	f, err := newFleet()
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	broken, err := play(f)
	f.close()
	switch {
	case err != nil:
		fmt.Println("the case couldn't run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("rule broken")
		os.Exit(1)
	}
	fmt.Println("rule held")
}
