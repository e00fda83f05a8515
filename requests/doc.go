// Package requests groups the packages on the request path: fair queues
// requests by team, placement picks an agent, admission decides at the agent
// whether a request may start, ledger stores the claims of at-most-once
// requests, and dispatch takes one request from the queue to its final answer.
package requests
