// Package abusetest holds tests that run the built programs as processes of their own against clients that write slowly, stop
// half way through a request, flood one connection, or close with much unread. They check the memory of the process, the
// answers to other clients, and what is forwarded after a client has closed.
//
// Each case takes some seconds; flag -abuse.seconds makes them longer. Clients and programs use loopback addresses only.
package abusetest
