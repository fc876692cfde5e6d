package config

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// CommitRequest is a command that changes the configuration.
type CommitRequest struct {
	// Token identifies the command across retries: 1 to 128 letters, digits,
	// '.', '_' or '-'.
	Token string
	// ExpectedRevision is the revision that the command is based on; 0 accepts any.
	ExpectedRevision fleet.Revision
	// Statement is the command as the operator wrote it. It is recorded with the outcome.
	Statement string
	// Mutate returns the changed configuration or the reason for a refusal, preferably as a
	// *resultcode.Error. It may be called several times, each time with a copy.
	Mutate func(Document) (Document, error)
}

// Commit applies a command to the committed configuration. If the error is nil, the outcome,
// success or refusal, is final and recorded under the token: a repeated command with this token
// gets the same outcome. Otherwise the error is a *resultcode.Error: CommandUncertain if the
// command may have taken effect, another code such as PlatformUnavailable if it has not.
func (s *Store) Commit(ctx context.Context, request CommitRequest) (Outcome, error) {
	if !tokenPattern.MatchString(request.Token) {
		return Outcome{}, resultcode.New(resultcode.InvalidParameter,
			"a token is 1 to 128 letters, digits, '.', '_' or '-'")
	}
	commit := &commit{store: s, request: request}
	for attempt := range s.options.CommitAttempts {
		if attempt > 0 {
			if err := s.backOff(ctx, attempt); err != nil {
				return Outcome{}, commit.failure(err)
			}
		}
		outcome, err := commit.try(ctx)
		if err == nil {
			return outcome, nil
		}
		if !isRetryable(err) {
			return Outcome{}, commit.failure(err)
		}
		commit.lastError = err
	}
	return Outcome{}, commit.failure(commit.lastError)
}

func (s *Store) backOff(ctx context.Context, attempt int) error {
	bound := min(s.options.BackoffBase<<min(attempt-1, 16), s.options.BackoffMax)
	s.mutex.Lock()
	delay := time.Duration(s.options.Random.Int64N(int64(bound) + 1))
	s.mutex.Unlock()
	return s.options.Sleep(ctx, delay)
}

func isRetryable(err error) bool {
	return errors.Is(err, platform.ErrConflict) ||
		errors.Is(err, platform.ErrRateLimited) ||
		errors.Is(err, platform.ErrUnknownOutcome) ||
		errors.Is(err, platform.ErrUnavailable)
}

// commit is the state of one call of Store.Commit.
type commit struct {
	store   *Store
	request CommitRequest
	// uncertain is set while a transaction of this command may still take effect. uncertainBase is
	// the revision of the document's row that the transaction compares.
	uncertain     bool
	uncertainBase uint64
	lastError     error
}

// try makes one attempt. It reads the document before the token's row: if the document's row is
// newer than the one that a transaction in flight compares, and the token's row still does not
// exist, that transaction can no longer take effect.
func (c *commit) try(ctx context.Context) (Outcome, error) {
	base, baseRow, err := c.store.readDocument(ctx)
	if err != nil {
		return Outcome{}, err
	}
	outcome, found, err := c.store.Lookup(ctx, c.request.Token)
	if err != nil || found {
		return outcome, err
	}
	if c.uncertain && baseRow > c.uncertainBase {
		c.uncertain = false
	}
	outcome, next := c.decide(base)
	transaction, err := c.transaction(ctx, base, baseRow, next, outcome)
	if err != nil {
		return Outcome{}, err
	}
	err = c.store.tables.Commit(ctx, transaction)
	if errors.Is(err, platform.ErrUnknownOutcome) {
		c.uncertain = true
		c.uncertainBase = baseRow
	}
	return outcome, err
}

// decide evaluates the command on a base document. The returned document is nil if nothing changes.
func (c *commit) decide(base Document) (Outcome, *Document) {
	expected := c.request.ExpectedRevision
	if expected != 0 && expected != base.Revision {
		return c.refusal(base, resultcode.New(resultcode.RevisionConflict,
			fmt.Sprintf("expected revision %d, the configuration is at %d", expected, base.Revision))), nil
	}
	next, err := c.request.Mutate(Canonical(base))
	if err != nil {
		return c.refusal(base, err), nil
	}
	next = Canonical(next)
	next.Revision = base.Revision + 1
	if problems := Check(next); len(problems) > 0 {
		return c.refusal(base, resultcode.New(resultcode.ConfigInvalid, problems.Error())), nil
	}
	change, err := Diff(base, next)
	if err != nil {
		return c.refusal(base, err), nil
	}
	if len(change.Patch) == 0 {
		return c.outcome(resultcode.OK, "nothing to change", base.Revision), nil
	}
	return c.outcome(resultcode.OK, "", next.Revision), &next
}

func (c *commit) refusal(base Document, cause error) Outcome {
	var coded *resultcode.Error
	if errors.As(cause, &coded) {
		return c.outcome(coded.Code, coded.Message, base.Revision)
	}
	return c.outcome(resultcode.CommandImpossible, cause.Error(), base.Revision)
}

func (c *commit) outcome(code resultcode.Code, message string, revision fleet.Revision) Outcome {
	return Outcome{
		Token:     c.request.Token,
		Statement: c.request.Statement,
		Code:      code,
		Message:   message,
		Revision:  revision,
	}
}

// transaction builds the transaction of one attempt. A refusal writes only the outcome.
func (c *commit) transaction(
	ctx context.Context, base Document, baseRow uint64, next *Document, outcome Outcome,
) (platform.Transaction, error) {
	builder := transactionBuilder{}
	builder.compare(keyDocument, baseRow)
	builder.compare(commandKey(c.request.Token), 0)
	builder.put(commandKey(c.request.Token), outcome)
	if next != nil {
		if err := c.writeRevision(ctx, &builder, base, *next); err != nil {
			return platform.Transaction{}, err
		}
	}
	return builder.transaction, builder.err
}

func (c *commit) writeRevision(ctx context.Context, builder *transactionBuilder, base, next Document) error {
	change, err := Diff(base, next)
	if err != nil {
		return err
	}
	row, err := c.store.documentRow(ctx, next, c.request.Token)
	if err != nil {
		return err
	}
	head := headRow{Revision: next.Revision}
	if len(change.Patch) <= maxHeadPatch {
		head.Change = change
	}
	builder.put(keyDocument, row)
	builder.put(keyHead, head)
	builder.put(changeKey(next.Revision), change)
	for _, key := range c.store.expiredKeys(ctx, next.Revision) {
		builder.delete(key)
	}
	return nil
}

// documentRow returns the row of a document. A document over DocumentRowLimit is written to the
// object store.
func (s *Store) documentRow(ctx context.Context, document Document, token string) (documentRow, error) {
	if s.objects == nil {
		return documentRow{Document: document}, nil
	}
	body, err := json.Marshal(document)
	if err != nil {
		return documentRow{}, errors.Wrap(err, "encode configuration")
	}
	if len(body) <= s.options.DocumentRowLimit {
		return documentRow{Document: document}, nil
	}
	name := objectName(document.Revision, token)
	if err := s.objects.PutObject(ctx, name, body); err != nil {
		// The command has had no effect, whether or not the object was written: an object that no
		// row refers to is harmless.
		return documentRow{}, errors.Wrapf(platform.ErrUnavailable, "write configuration object: %v", err)
	}
	return documentRow{Object: name}, nil
}

// failure returns the error of a command without a recorded outcome.
func (c *commit) failure(cause error) error {
	switch {
	case c.uncertain:
		return resultcode.New(resultcode.CommandUncertain, cause.Error())
	case errors.Is(cause, platform.ErrConflict):
		return resultcode.New(resultcode.RevisionConflict, "too many commands at once: "+cause.Error())
	case isRetryable(cause), errors.Is(cause, context.Canceled), errors.Is(cause, context.DeadlineExceeded):
		return resultcode.New(resultcode.PlatformUnavailable, cause.Error())
	default:
		return resultcode.New(resultcode.Internal, cause.Error())
	}
}
