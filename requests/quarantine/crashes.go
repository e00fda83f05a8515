package quarantine

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

const (
	// crashRetention is how long a crash counts as evidence against prompt parts.
	crashRetention = 2 * time.Minute
	// requestRetention is how long a crash counts as evidence against whole requests, which
	// callers may repeat slowly.
	requestRetention = 10 * time.Minute
	// maxCrashes bounds the crashes that are kept.
	maxCrashes = 64
	// maxSuspects bounds the traits that are suspect in one crash: those of all requests that
	// wait at a full server.
	maxSuspects = 4096
	// maxSuspicions bounds the suspicions of all crashes together.
	maxSuspicions = 16384
	// maxRequests bounds the requests that are known for each of these.
	maxRequests = 4
	// urgentSuspicions is the number of crashes from which evidence on their suspect is
	// passed on at once.
	urgentSuspicions = 2
	// mergePeriod is the time within which the entries notice the end of a process, and
	// in which no server starts and crashes again.
	mergePeriod = 2 * time.Second
)

// crash is the end of one process of a server with the traits of the requests that waited
// there.
type crash struct {
	lifetime notices.Lifetime
	at       time.Time
	suspects map[fleet.Trait]*suspicion
	// open is the number of suspects that are not proved sound.
	open int
}

// suspicion is that a trait is the cause of a crash.
type suspicion struct {
	crash    *crash
	trait    fleet.Trait
	requests []uint32
	// position is the greatest index of the trait in a prompt.
	position uint8
	// isSound is set once an answer with the trait is known to have begun shortly before
	// the crash or later.
	isSound bool
	// changedAt is when this became known here, or when another entry last reported a
	// suspect that is sound.
	changedAt time.Time
	// sentAt and startSentAt are when it and what refutes it were last sent to other entries.
	sentAt, startSentAt time.Time
}

func (c *crash) holds(s fleet.Suspect) bool {
	known := c.suspects[s.Trait]
	return known != nil && slices.Contains(known.requests, s.Request)
}

func (c *crash) isSuspect(p fleet.Trait) bool {
	s := c.suspects[p]
	return s != nil && !s.isSound
}

// isBefore orders crashes by their value as evidence: one without open suspicions has
// the least, and of others the older one has less.
func (c *crash) isBefore(other *crash) bool {
	if (c.open > 0) != (other.open > 0) {
		return c.open == 0
	}
	return cmp.Or(c.at.Compare(other.at), compareLifetimes(c.lifetime, other.lifetime)) < 0
}

// crashLog holds the crashes that count as evidence.
type crashLog struct {
	// version changes with the open suspicions.
	version uint64
	crashes []*crash
	// count is the number of suspicions of all crashes, including the refuted ones.
	count int
	// open holds the suspicions that are not refuted, by trait.
	open map[fleet.Trait][]*suspicion
	// isSound reports whether an answer with a trait is known to have begun shortly before
	// a time or later.
	isSound func(trait fleet.Trait, at time.Time) bool
}

func newCrashLog(isSound func(trait fleet.Trait, at time.Time) bool) crashLog {
	return crashLog{open: map[fleet.Trait][]*suspicion{}, isSound: isSound}
}

// record adds a crash, or suspects to a known one. It reports whether that is new evidence
// against a trait, and whether the evidence is urgent: against a trait that is suspect in
// other crashes too.
func (l *crashLog) record(now time.Time, lifetime notices.Lifetime, at time.Time, suspects []fleet.Suspect) (isNew, isUrgent bool) {
	suspects = slices.DeleteFunc(slices.Clone(suspects), func(s fleet.Suspect) bool { return now.Sub(at) >= retention(s.Trait) })
	if len(suspects) == 0 {
		return false, false
	}
	c := l.find(lifetime, at, suspects)
	isKnown := c != nil
	if !isKnown {
		c = &crash{lifetime: lifetime, at: at, suspects: map[fleet.Trait]*suspicion{}}
	} else if at.Before(c.at) {
		l.setTime(now, c, at)
	}
	for _, s := range suspects {
		if l.add(now, c, s) {
			isNew, isUrgent = true, isUrgent || len(l.open[s.Trait]) >= urgentSuspicions
		}
	}
	if !isKnown {
		l.crashes = append(l.crashes, c)
	}
	if !l.trim(c) {
		return false, false
	}
	if isNew {
		l.version++
	}
	return isNew, isUrgent
}

// retention is how long a crash counts as evidence against a trait.
func retention(t fleet.Trait) time.Duration {
	if t.IsRequest() {
		return requestRetention
	}
	return crashRetention
}

// find returns the known crash that a report is about. Entries may know the process by the
// incarnation before. A message may be read long after it was sent, with an age that is too
// small: a crash with the same request is the same one.
func (l *crashLog) find(lifetime notices.Lifetime, at time.Time, suspects []fleet.Suspect) *crash {
	for _, c := range l.crashes {
		if c.lifetime.Server != lifetime.Server {
			continue
		}
		if c.at.Sub(at).Abs() <= mergePeriod || c.lifetime == lifetime && slices.ContainsFunc(suspects, c.holds) {
			return c
		}
	}
	return nil
}

// setTime moves a crash to an earlier time.
func (l *crashLog) setTime(now time.Time, c *crash, at time.Time) {
	c.at = at
	for trait, s := range c.suspects {
		if !s.isSound && l.isSound(trait, at) {
			l.refute(now, trait, func(other *suspicion) bool { return other == s })
		}
	}
}

// add adds a suspect to a crash. It reports whether that is new evidence: the crash did not
// hold it, and it is not proved sound.
func (l *crashLog) add(now time.Time, c *crash, s fleet.Suspect) bool {
	known := c.suspects[s.Trait]
	if known == nil {
		isSound := l.isSound(s.Trait, c.at)
		if len(c.suspects) >= maxSuspects && (isSound || !l.dropSound(c)) {
			return false
		}
		known = &suspicion{crash: c, trait: kept(s.Trait), isSound: isSound}
		c.suspects[known.trait] = known
		l.count++
		if !isSound {
			c.open++
			l.open[known.trait] = append(l.open[known.trait], known)
		}
	}
	known.position = max(known.position, s.Position)
	if known.isSound {
		known.changedAt = now
		return false
	}
	if len(known.requests) >= maxRequests || slices.Contains(known.requests, s.Request) {
		return false
	}
	known.requests, known.changedAt = append(known.requests, s.Request), now
	return true
}

// kept returns a trait for storage: its identifier may be a part of a long header.
func kept(t fleet.Trait) fleet.Trait {
	t.ID = strings.Clone(t.ID)
	return t
}

// dropSound drops the suspects of a crash that are proved sound. It reports whether there
// were any.
func (l *crashLog) dropSound(c *crash) bool {
	if c.open == len(c.suspects) {
		return false
	}
	l.count -= len(c.suspects) - c.open
	maps.DeleteFunc(c.suspects, func(_ fleet.Trait, s *suspicion) bool { return s.isSound })
	return true
}

// refute closes the suspicions of a trait that matches applies to, and returns them.
func (l *crashLog) refute(now time.Time, trait fleet.Trait, matches func(*suspicion) bool) []*suspicion {
	var refuted, rest []*suspicion
	for _, s := range l.open[trait] {
		if !matches(s) {
			rest = append(rest, s)
			continue
		}
		s.isSound, s.changedAt, s.startSentAt = true, now, time.Time{}
		s.crash.open--
		refuted = append(refuted, s)
	}
	l.setOpen(trait, rest)
	if len(refuted) > 0 {
		l.version++
	}
	return refuted
}

func (l *crashLog) setOpen(trait fleet.Trait, list []*suspicion) {
	if len(list) == 0 {
		delete(l.open, trait)
		return
	}
	l.open[trait] = list
}

// trim keeps the log within its bounds. It drops traits that are proved sound first, and
// then the crash that is worth least as evidence, which may be the one just added. It
// reports whether that one is left.
func (l *crashLog) trim(added *crash) bool {
	for _, c := range l.crashes {
		if l.count > maxSuspicions {
			l.dropSound(c)
		}
	}
	for len(l.crashes) > maxCrashes || l.count > maxSuspicions {
		least := l.crashes[0]
		for _, other := range l.crashes {
			if other.isBefore(least) {
				least = other
			}
		}
		l.remove(func(other *crash) bool { return other == least })
		if least == added {
			return false
		}
	}
	return true
}

func (l *crashLog) remove(matches func(*crash) bool) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool {
		if !matches(c) {
			return false
		}
		l.count -= len(c.suspects)
		for trait := range c.suspects {
			if open := l.open[trait]; open != nil {
				l.setOpen(trait, slices.DeleteFunc(open, func(s *suspicion) bool { return s.crash == c }))
			}
		}
		return true
	})
}

// expire drops suspicions after their retention, and crashes without open ones. It keeps the
// suspicions of traits that explain crashes, according to isCause, as long as the crash.
func (l *crashLog) expire(now time.Time, isCause func(fleet.Trait) bool) {
	l.remove(func(c *crash) bool {
		age := now.Sub(c.at)
		if age < crashRetention {
			return false
		}
		for trait, s := range c.suspects {
			if age >= retention(trait) && !isCause(trait) {
				l.drop(trait, s)
			}
		}
		return age >= requestRetention || !c.hasOpenRequest()
	})
}

func (c *crash) hasOpenRequest() bool {
	for trait, s := range c.suspects {
		if trait.IsRequest() && !s.isSound {
			return true
		}
	}
	return false
}

// drop removes a suspicion.
func (l *crashLog) drop(trait fleet.Trait, s *suspicion) {
	delete(s.crash.suspects, trait)
	l.count--
	if !s.isSound {
		s.crash.open--
		l.setOpen(trait, slices.DeleteFunc(l.open[trait], func(other *suspicion) bool { return other == s }))
	}
}

// byTime returns the crashes in the order of time.
func (l *crashLog) byTime() []*crash {
	list := slices.Clone(l.crashes)
	slices.SortFunc(list, compareCrashes)
	return list
}

func compareCrashes(a, b *crash) int {
	return cmp.Or(a.at.Compare(b.at), compareLifetimes(a.lifetime, b.lifetime))
}

func compareLifetimes(a, b notices.Lifetime) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Incarnation, b.Incarnation))
}

// hashRequest returns a hash of a request's ID. Two requests with the same hash count
// as one, which at most delays a decision.
func hashRequest(id string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum32()
}
