package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
	"currantusher.dev/daemon/settings"
)

const operatorTimeout = 15 * time.Second

// operator is an operator's connection to an entry.
type operator struct {
	entry   string
	token   string
	ca      string
	json    bool
	timeout time.Duration
}

func (o *operator) define(set *settings.Set) {
	set.String(&o.entry, "entry", "http://127.0.0.1:7070", "URL of an entry")
	set.String(&o.token, "operator-token", "", "operator's token for edits")
	set.String(&o.ca, "entry-ca", "", "PEM file that checks the entry's HTTPS certificate")
	set.Bool(&o.json, "json", "print JSON")
	set.Duration(&o.timeout, "timeout", operatorTimeout, "longest time for one call")
}

// Operator implements oas.SecuritySource.
func (o *operator) Operator(context.Context, oas.OperationName) (oas.Operator, error) {
	return oas.Operator{Token: o.token}, nil
}

func (o *operator) client() (*oas.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if o.ca != "" {
		roots, err := loadRoots(o.ca)
		if err != nil {
			return nil, usageError{err}
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
	}
	client := &http.Client{Transport: transport, Timeout: o.timeout}
	return oas.NewClient(strings.TrimSuffix(o.entry, "/"), o, oas.WithClient(client))
}

func loadRoots(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("entry-ca: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("entry-ca %q: no PEM certificate found", file)
	}
	return roots, nil
}

// explain turns a problem reply into an error with its result code.
func explain(err error) error {
	if err == nil {
		return nil
	}
	var problem *oas.ProblemStatusCodeWithHeaders
	if !errors.As(err, &problem) {
		return err
	}
	body := problem.Response
	work := core.ExecutionUnknown
	if body.Work == oas.ProblemWorkNotRun {
		work = core.ExecutionNotRun
	}
	return core.NewFailure(core.Code(body.Code), work, "%d %s: %s", body.Code, body.Name, body.Detail)
}

// editTries bounds the sends of one edit whose outcome is not known.
const editTries = 3

// edit sends one edit, and sends it again with the same edit id while it is not
// known whether it was accepted. The entry answers a repeat with the first
// result.
func (o *operator) edit(ctx context.Context, edit *oas.Edit) (*oas.EditResult, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	if edit.EditID == "" {
		edit.EditID = uuid.NewString()
	}
	edit.Author = oas.NewOptString(author())
	var result *oas.EditResult
	for range editTries {
		result, err = client.ApplyEdit(ctx, edit)
		if !isUnknown(err) {
			return result, explain(err)
		}
	}
	return nil, fmt.Errorf("ask again with --edit-id %s: %w", edit.EditID, explain(err))
}

// isUnknown reports whether an edit may have been accepted although err came
// back: the entry said so, or no answer came.
func isUnknown(err error) bool {
	var problem *oas.ProblemStatusCodeWithHeaders
	if errors.As(err, &problem) {
		return core.Code(problem.Response.Code) == core.CodeEditUnknown
	}
	return err != nil
}

func author() string {
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "operator"
}

func (o *operator) printEdit(result *oas.EditResult, dryRun bool) error {
	if o.json {
		return printJSON(result)
	}
	for _, change := range result.Changes {
		fmt.Println(change)
	}
	if dryRun {
		fmt.Println("dry run: nothing was changed")
		return nil
	}
	fmt.Printf("accepted as revision %d\n", result.Revision)
	return nil
}

// waitInForce polls until every live daemon acknowledged the revision.
func (o *operator) waitInForce(ctx context.Context, revision int64) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	const pollInterval = 200 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	var missing []string
	for {
		state, err := client.GetInForce(ctx, oas.GetInForceParams{Revision: revision})
		if err == nil && state.InForce {
			fmt.Printf("revision %d is in force\n", revision)
			return nil
		}
		if err == nil {
			missing = state.Missing
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("revision %d is accepted but not in force at %s", revision, strings.Join(missing, ", "))
		case <-time.After(pollInterval):
		}
	}
}

func printJSON(content any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(content)
}
