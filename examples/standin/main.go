// Toy is a small engine to try oxbowbridge with, and a caller:
//
//	go run ./examples/standin                       the engine, on 127.0.0.1:6100
//	go run ./examples/standin -call nom-submit hi   one request to 127.0.0.1:9090
//	go run ./examples/standin -call nom-update -key K hi   one of a class that may come again
//
// The engine runs four requests at a time, 300 ms each; more wait for a core.
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"net"
	"strings"
	"time"

	"oxbowbridge/internal/standin"
)

func main() {
	addr := flag.String("engine", "127.0.0.1:6100", "where the engine listens")
	service := flag.String("service", "127.0.0.1:9090", "where the service listens")
	class := flag.String("call", "", "send one request of this class, with the arguments as its body")
	key := flag.String("key", "", "the request's Replay-Key, the same for all its tries")
	flag.Parse()
	var err error
	if *class != "" {
		err = call(*service, standin.Request{Class: *class, IdempotencyKey: *key, Body: strings.Join(flag.Args(), " ")})
	} else {
		err = serve(*addr)
	}
	if err != nil {
		log.Fatal("toy: ", err)
	}
}

func serve(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	log.Println("toy engine on", ln.Addr())
	return (&standin.Engine{Cores: 4, RunDuration: 300 * time.Millisecond,
		OnRun: func(class, body string) { log.Printf("run: %s %s", class, body) }}).Serve(ln)
}

func call(addr string, q standin.Request) error {
	a, err := standin.Call(context.Background(), addr, q)
	if err != nil {
		return err
	}
	fmt.Printf("Status: %d\n", a.Status)
	if a.RetryAfterMillis != "" {
		fmt.Printf("Hold-Off-Ms: %s\n", a.RetryAfterMillis)
	}
	fmt.Printf("\n%s\n", a.Body)
	return nil
}
