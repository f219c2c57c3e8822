package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// searchDrain tells senders to end over and over while clients come on new connections for 0.4 s after the signal, and go on using those that
// they have. It counts hand-ins without an answer. It is no case.
func searchDrain(p *play) error {
	p.answer = func(*call) (int, time.Duration) { return 200, 100 * time.Millisecond }
	receivers, discovery, err := p.world()
	if err != nil {
		return err
	}
	s, err := p.sender(0, 1, receivers, discovery, "")
	if err != nil {
		return err
	}
	var answered, refusedNew, ended, reset, timedOut atomic.Int64
	for round := range 9 {
		if err := s.begin(); err != nil {
			return err
		}
		if err := s.ready(); err != nil {
			return err
		}
		var told atomic.Int64 // when the signal went
		stop := make(chan struct{})
		var work sync.WaitGroup
		for k := range 60 {
			work.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					at := told.Load()
					if at > 0 && time.Now().UnixNano() > at+int64(400*time.Millisecond) {
						return
					}
					c, err := dial(s.listen)
					if err != nil {
						refusedNew.Add(1)
						return
					}
					if rand.IntN(3) == 0 {
						time.Sleep(time.Duration(rand.IntN(80)) * time.Millisecond)
					}
					for m := range 1 + rand.IntN(4) {
						id := fmt.Sprintf("d%d-%d-%d-%d", round, k, n, m)
						answer, err := c.say(2*time.Second, "ENQUEUE", "0000000000000000", id, fmt.Sprintf("c=notice,d=8000,k=%s,dest=%d", id, dest+1+n%others), "x")
						if err == nil {
							answered.Add(1)
							_ = answer
							time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
							continue
						}
						var ne net.Error
						switch {
						case errors.As(err, &ne) && ne.Timeout():
							timedOut.Add(1)
						case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
							reset.Add(1)
							p.note("reset: %s (%d on its connection), %v after the signal: %v", id, m, time.Duration(time.Now().UnixNano()-told.Load()), err)
						default:
							ended.Add(1)
							p.note("ended unanswered: %s (%d on its connection), %v after the signal", id, m, time.Duration(time.Now().UnixNano()-told.Load()))
						}
						break
					}
					c.close()
				}
			})
		}
		time.Sleep(700 * time.Millisecond)
		told.Store(time.Now().UnixNano())
		s.signal(syscall.SIGTERM)
		if !s.ended(4 * time.Second) {
			return fmt.Errorf("%w: it did not end", errBroken)
		}
		close(stop)
		work.Wait()
	}
	p.note("COUNT answered %d refused %d ended %d reset %d timed out %d", answered.Load(), refusedNew.Load(), ended.Load(), reset.Load(), timedOut.Load())
	return nil
}
