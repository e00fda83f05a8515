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
	"currantusher.dev/tables/edit"
)

const (
	operatorTimeout = 15 * time.Second
	// maxStatus is the greatest status of HTTP.
	maxStatus = 599
)

// operatorClient calls the operator API of an entry.
type operatorClient struct {
	entry   string
	token   string
	ca      string
	json    bool
	timeout time.Duration
}

func (o *operatorClient) registerFlags(set *settings.Set) {
	set.String(&o.entry, "entry", "http://127.0.0.1:7070", "URL of an entry")
	set.String(&o.token, "operator-token", "", "operator's token for edits")
	set.String(&o.ca, "entry-ca", "", "PEM file of the certificate authority of the entry's HTTPS certificate")
	set.Bool(&o.json, "json", "print JSON")
	set.Duration(&o.timeout, "timeout", operatorTimeout, "time limit of one call")
}

// Operator implements oas.SecuritySource.
func (o *operatorClient) Operator(context.Context, oas.OperationName) (oas.Operator, error) {
	return oas.Operator{Token: o.token}, nil
}

func (o *operatorClient) apiClient() (*oas.Client, error) {
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

// problemOf returns the problem response that an error holds, or nil. One without an error
// status proves nothing.
func problemOf(err error) *oas.ProblemStatusCodeWithHeaders {
	var problem *oas.ProblemStatusCodeWithHeaders
	if !errors.As(err, &problem) || problem.StatusCode < http.StatusBadRequest || problem.StatusCode > maxStatus {
		return nil
	}
	return problem
}

// problemToError converts a problem response of an entry to an error with the
// same result code. Other errors are returned unchanged.
func problemToError(err error) error {
	if err == nil {
		return nil
	}
	problem := problemOf(err)
	if problem == nil {
		return err
	}
	body := problem.Response
	work := core.ExecutionUnknown
	if body.Work == oas.ProblemWorkNotRun {
		work = core.ExecutionNotRun
	}
	return core.NewFailure(core.Code(body.Code), work, "%d %s: %s", body.Code, body.Name, body.Detail)
}

// maxEditAttempts bounds how often one edit is sent while its outcome is unknown.
const maxEditAttempts = 3

// edit sends one edit, and repeats it with the same edit ID while it is unknown
// whether it was accepted. The entry returns the first result for a repeated
// edit ID. A refusal of a repeat ends this only if it is final for the edit.
func (o *operatorClient) edit(ctx context.Context, edit *oas.Edit) (*oas.EditResult, error) {
	client, err := o.apiClient()
	if err != nil {
		return nil, err
	}
	if edit.EditID == "" {
		edit.EditID = uuid.NewString()
	}
	edit.Author = oas.NewOptString(editAuthor())
	var result *oas.EditResult
	for attempt := range maxEditAttempts {
		result, err = client.ApplyEdit(ctx, edit)
		if !isOutcomeUnknown(err) && (attempt == 0 || isFinalAnswer(err)) {
			return result, problemToError(err)
		}
	}
	return nil, fmt.Errorf("outcome of the edit is unknown; repeat the command with --edit-id %s: %w", edit.EditID, problemToError(err))
}

// isOutcomeUnknown reports whether an edit may have been accepted although err was
// returned: the entry reported an unknown outcome or sent no valid response.
func isOutcomeUnknown(err error) bool {
	if problem := problemOf(err); problem != nil {
		return core.Code(problem.Response.Code) == core.CodeEditUnknown
	}
	return err != nil
}

// isFinalAnswer reports whether the answer to a repeated edit settles the earlier
// ones too.
func isFinalAnswer(err error) bool {
	if problem := problemOf(err); problem != nil {
		return edit.IsFinal(core.Code(problem.Response.Code))
	}
	return err == nil
}

// editAuthor returns the name that the history shows for an edit.
func editAuthor() string {
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "operator"
}

func (o *operatorClient) printEdit(result *oas.EditResult, dryRun bool) error {
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

// waitInForce polls until every live daemon has acknowledged the revision. On
// timeout the error lists the daemons that have not.
func (o *operatorClient) waitInForce(ctx context.Context, revision int64) error {
	client, err := o.apiClient()
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
