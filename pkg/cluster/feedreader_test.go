package cluster

import (
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

func TestLeavingInstanceIsNoFeedReader(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c, _ := newAnnouncer(nil)
		c.discovery.readerSeenAt = time.Now()
		if !c.isFeedReader(time.Now()) {
			t.Fatal("the first instance of the cell is no feed reader")
		}
		c.leaving = true
		if c.isFeedReader(time.Now()) {
			t.Error("a leaving instance is a feed reader although others are up to date")
		}
		time.Sleep(readerTimeout + c.timing.Member.RelayAllowance + time.Millisecond)
		if !c.isFeedReader(time.Now()) {
			t.Error("a leaving instance does not read the feeds although no feed reader is up to date")
		}
	})
}
