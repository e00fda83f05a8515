package dispatch

import (
	"time"

	"currantusher.dev/core/membudget"
)

const (
	// maxBufferedTotalBytes bounds the bytes of all answers that a dispatcher without
	// Config.Memory buffers, beyond the first freeBufferedBytes of each.
	maxBufferedTotalBytes = 64 << 20
	// freeBufferedBytes of each answer are not counted, so that a few servers that
	// answer without end do not fail the usual answers of others.
	freeBufferedBytes = 64 << 10
)

// answerMemory charges the buffer of an answer to a budget. The budget may close it only while
// the answer waits for its caller to read.
type answerMemory struct {
	budget *membudget.Budget
	now    func() time.Time
	// closeCaller ends the write to the caller, or is nil.
	closeCaller func()
	// account is nil until the buffer exceeds freeBufferedBytes.
	account *membudget.Account
	charged int64
}

func newAnswerMemory(budget *membudget.Budget, now func() time.Time, closeCaller func()) *answerMemory {
	return &answerMemory{budget: budget, now: now, closeCaller: closeCaller}
}

// grow charges a buffer that has reached length bytes. It reports whether the budget suffices;
// otherwise nothing is charged.
func (m *answerMemory) grow(length int) bool {
	extra := int64(max(length-freeBufferedBytes, 0)) - m.charged
	if extra <= 0 {
		return true
	}
	if m.account == nil {
		m.account = m.budget.Open(m.closeCaller)
		m.account.SetBusy(true)
	}
	if !m.account.Grow(m.now(), extra) {
		return false
	}
	m.charged += extra
	return true
}

// awaitCaller is called before a whole answer is written to its caller.
func (m *answerMemory) awaitCaller() {
	m.account.Progress(m.now())
	m.account.SetBusy(false)
}

// free returns all bytes to the budget.
func (m *answerMemory) free() {
	m.account.Release()
	m.account, m.charged = nil, 0
}
