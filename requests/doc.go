// Package requests groups the packages that carry live requests: fair queues
// them by team, placement picks an agent, admission starts them at the agent,
// ledger keeps the claims of at-most-once requests, and dispatch carries one
// request from the queue to its final answer.
package requests
