package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/meter"
)

// trafficInterval is how often the traffic of the process is counted and, at the
// owner, logged.
const trafficInterval = 2 * time.Second

// reportTraffic counts the bytes exchanged since the last call, by kind of frame, and
// logs them while this process is the owner.
func (c *Coordinator) reportTraffic() {
	kinds, longestWait := c.traffic.Take()
	var sent, received int64
	fields := make([]zap.Field, 0, 2*len(kinds)+5)
	for _, k := range kinds {
		sent, received = sent+k.Sent, received+k.Received
		c.cfg.Add(meter.BytesSent.Of(k.Kind.String()), k.Sent)
		c.cfg.Add(meter.BytesReceived.Of(k.Kind.String()), k.Received)
		fields = append(fields, zap.Int64(k.Kind.String()+"_sent", k.Sent), zap.Int64(k.Kind.String()+"_received", k.Received))
	}
	c.cfg.ObserveDuration(meter.FrameWait, longestWait)
	fields = append(fields, zap.Int64("sent", sent), zap.Int64("received", received), zap.Duration("longest_wait", longestWait))
	if c.cfg.TakeStoreBytes != nil {
		sent, received := c.cfg.TakeStoreBytes()
		c.cfg.Add(meter.BytesSent.Of("store"), sent)
		c.cfg.Add(meter.BytesReceived.Of("store"), received)
		fields = append(fields, zap.Int64("store_sent", sent), zap.Int64("store_received", received))
	}
	if c.IsOwner() {
		c.cfg.Log.Info("traffic", fields...)
	}
}
