package limiter

import "net"

// listener accepts connections within the limits of a group.
type listener struct {
	net.Listener
	group *Group
}

// Accept returns the next connection. Beyond the limit, the connection that has waited for its
// peer for longest is closed; if all are being served, the new one is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: accepted, group: l.group}
		if l.group.add(conn) {
			return conn, nil
		}
		_ = accepted.Close()
	}
}
