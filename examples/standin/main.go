// Standin is a small engine to try oxbowbridge with, and a caller:
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

const (
	engineCores = 4
	runDuration = 300 * time.Millisecond
)

func main() {
	engineAddr := flag.String("engine", "127.0.0.1:6100", "where the engine listens")
	serviceAddr := flag.String("service", "127.0.0.1:9090", "where the service listens")
	class := flag.String("call", "", "send one request of this class, with the arguments as its body")
	key := flag.String("key", "", "the request's Replay-Key, the same for all its tries")
	flag.Parse()
	var err error
	if *class != "" {
		err = call(*serviceAddr, standin.Request{
			Class:          *class,
			IdempotencyKey: *key,
			Body:           strings.Join(flag.Args(), " "),
		})
	} else {
		err = serveEngine(*engineAddr)
	}
	if err != nil {
		log.Fatal("toy: ", err)
	}
}

// serveEngine runs the engine until the process ends.
func serveEngine(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	log.Println("toy engine on", listener.Addr())
	engine := &standin.Engine{
		Cores:       engineCores,
		RunDuration: runDuration,
		OnRun:       func(class, body string) { log.Printf("run: %s %s", class, body) },
	}
	return engine.Serve(listener)
}

// call sends one request, and prints the response as the service sent it.
func call(addr string, request standin.Request) error {
	response, err := standin.Call(context.Background(), addr, request)
	if err != nil {
		return err
	}
	fmt.Printf("Status: %d\n", response.Status)
	if response.RetryAfterMillis != "" {
		fmt.Printf("Hold-Off-Ms: %s\n", response.RetryAfterMillis)
	}
	fmt.Printf("\n%s\n", response.Body)
	return nil
}
