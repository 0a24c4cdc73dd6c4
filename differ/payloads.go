package differ

import "slices"

// payloadCapacity is the number of jobs whose payloads an agent keeps. Both ends of a
// connection drop the oldest one beyond it.
const payloadCapacity = 256

// PayloadEncoder tracks which payloads the agent at the other end of a connection keeps,
// so that a job with many tasks sends its payload once. The zero value is ready to use.
type PayloadEncoder struct {
	// kept has the jobs, the oldest first.
	kept []string
}

// Keeps reports whether the agent keeps the payload of a job. If not, the caller sends
// it, and the agent keeps it from then on.
func (e *PayloadEncoder) Keeps(job string) bool {
	if slices.Contains(e.kept, job) {
		return true
	}
	e.kept = append(e.kept, job)
	if len(e.kept) > payloadCapacity {
		e.kept = slices.Delete(e.kept, 0, 1)
	}
	return false
}

// PayloadDecoder keeps the payloads that arrive on a connection. The zero value is ready
// to use.
type PayloadDecoder struct {
	order    PayloadEncoder
	payloads map[string]string
}

// Restore returns the payload of a job: the received one, which it keeps, or the kept one
// if it was omitted. The error wraps ErrOutOfStep if that is not known.
func (d *PayloadDecoder) Restore(job, received string, omitted bool) (string, error) {
	if omitted {
		payload, ok := d.payloads[job]
		if !ok {
			return "", ErrOutOfStep
		}
		return payload, nil
	}
	if d.payloads == nil {
		d.payloads = map[string]string{}
	}
	if !d.order.Keeps(job) {
		for kept := range d.payloads {
			if !slices.Contains(d.order.kept, kept) {
				delete(d.payloads, kept)
			}
		}
	}
	d.payloads[job] = received
	return received, nil
}
