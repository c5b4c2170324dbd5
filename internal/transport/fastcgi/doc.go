// Package fastcgi implements the frontend for the platform's load balancers: FastCGI 1.0 in the Responder
// role, with up to 32 open requests per connection. See package frontend for the code that all frontends share
// and for their goroutines.
package fastcgi
