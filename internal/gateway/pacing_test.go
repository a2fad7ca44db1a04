package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// Local answers of a connection beyond its burst are delayed, together to the rate of the pacer and each
// by no more than allowed. Connections with few local answers are not.
func TestLocalAnswersAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pacer := newAnswerPacer(0.1) // 100 answers per second
		front := &frontend{pacer: pacer, metrics: &metrics{}}
		answers := func(count int, maxPause time.Duration) time.Duration {
			conn, start := &clientConn{readAhead: &readAheadConn{peerClosed: make(chan struct{})}}, time.Now()
			for range count {
				front.paceLocalAnswer(conn, maxPause)
			}
			return time.Since(start)
		}
		if took := answers(localAnswerBurst, time.Second); took != 0 {
			t.Errorf("a burst took %v", took)
		}
		if took := answers(localAnswerBurst+100, time.Second); took < 1900*time.Millisecond || took > 2100*time.Millisecond {
			t.Errorf("100 answers beyond the burst took %v, want 2 s", took)
		}
		for range 10 {
			go answers(localAnswerBurst+100, time.Second)
		}
		if took := answers(1, time.Second); took != 0 {
			t.Errorf("another connection waited %v", took)
		}
		synctest.Wait()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if paced := front.metrics.pacedAnswers.Load(); paced < 590 || paced > 620 {
			t.Errorf("%d answers were delayed, want 100 and 5 s of 100 per second", paced)
		}
		time.Sleep(6 * time.Second)
		synctest.Wait()
		if paced := front.metrics.pacedAnswers.Load(); paced != 1100 {
			t.Errorf("%d answers were delayed, want 1100", paced)
		}
		if took := answers(localAnswerBurst+1, 5*time.Millisecond); took != 5*time.Millisecond {
			t.Errorf("an answer waited %v, at most 5 ms are allowed", took)
		}
	})
}
