package target

import "net/http"

// lastByteHolder is a ResponseWriter that holds back the last byte, so that the
// response is not complete before finish.
type lastByteHolder struct {
	http.ResponseWriter
	held []byte
}

// Write writes the byte held before and all of b but its last byte.
func (h *lastByteHolder) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if err := h.finish(); err != nil {
		return 0, err
	}
	last := len(b) - 1
	if n, err := h.ResponseWriter.Write(b[:last]); err != nil {
		return n, err
	}
	h.held = append(h.held, b[last])
	return len(b), nil
}

// finish writes the byte that is held back, if there is one.
func (h *lastByteHolder) finish() error {
	_, err := h.ResponseWriter.Write(h.held)
	h.held = h.held[:0]
	return err
}
