// Standin is a minimal engine and a caller for trying out oxbowbridge:
//
//	go run ./examples/standin                              runs the engine on 127.0.0.1:6100
//	go run ./examples/standin -call nom-submit hi          sends one request to 127.0.0.1:9090
//	go run ./examples/standin -call nom-update -key K hi   sends one request with an idempotency key
//
// The engine executes up to four runs at a time, each for 300 ms. Further runs wait for a free core.
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
	engineAddr := flag.String("engine", "127.0.0.1:6100", "listen address of the engine")
	serviceAddr := flag.String("service", "127.0.0.1:9090", "address of the service to send the request to")
	class := flag.String("call", "", "send one request of this class, with the arguments as the body, instead of running the engine")
	key := flag.String("key", "", "idempotency key (Replay-Key) of the request, the same for all attempts")
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
		log.Fatal("standin: ", err)
	}
}

// serveEngine runs the engine until the process exits.
func serveEngine(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	log.Println("engine listening on", listener.Addr())
	engine := &standin.Engine{
		Cores:       engineCores,
		RunDuration: runDuration,
		OnRun:       func(class, body string) { log.Printf("starting run: %s %s", class, body) },
	}
	return engine.Serve(listener)
}

// call sends one request and prints the status, the Hold-Off-Ms header if there is one, and the body of the
// response.
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
