// Command world plays the cases of the review: it starts the project's processes beside
// stand-ins of the platform, the workers and the clients.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by number. Each returns what broke the rule, or nothing.
var cases = map[int]func(dir string) ([]string, error){1: manyEnds, 2: deadlyTask, 3: crowdFillers, 4: crashAdvised, 5: loseTwoMachines}

// limit is how long a case may take.
const limit = 115 * time.Second

func main() {
	number := flag.Int("case", 0, "number of the case")
	flag.Parse()
	play := cases[*number]
	if play == nil {
		fmt.Println("no such case")
		os.Exit(exitNotRun)
	}
	time.AfterFunc(limit, func() {
		fmt.Println("the case takes too long")
		os.Exit(exitNotRun) // the processes end with this one
	})
	broken, err := play(fmt.Sprintf("review/%d", *number))
	switch {
	case errors.Is(err, errCannotRun):
		fmt.Println(err)
		os.Exit(exitNotRun)
	case err != nil:
		fmt.Println("error:", err)
		os.Exit(exitNotRun)
	case len(broken) > 0:
		for n, line := range broken {
			if n == 10 {
				fmt.Printf("and %d more\n", len(broken)-n)
				break
			}
			fmt.Println(line)
		}
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
