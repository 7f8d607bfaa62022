package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// An order that is left unanswered is carried out after a time between these.
const (
	minLate = 2 * time.Second
	maxLate = 12 * time.Second
)

// proxy passes the calls to a worker on. While late is set, a share of the starts gets no
// answer and is passed on seconds later.
type proxy struct {
	target  string
	late    atomic.Bool
	share   float64
	client  *http.Client
	onLate  func(body []byte, sentAt time.Time)
	pending sync.WaitGroup
}

func newProxy(target string, share float64, onLate func([]byte, time.Time)) *proxy {
	return &proxy{target: target, share: share, onLate: onLate, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// ServeHTTP implements http.Handler.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/v1/run-start" && p.late.Load() && rand.Float64() < p.share {
		header := r.Header.Clone()
		sentAt := time.Now()
		delay := minLate + rand.N(maxLate-minLate)
		time.AfterFunc(delay, func() {
			p.onLate(body, sentAt)
			if resp, err := p.send(context.Background(), r.Method, r.URL.RequestURI(), header, body); err == nil {
				_ = resp.Body.Close()
			}
		})
		<-r.Context().Done()
		return
	}
	resp, err := p.send(r.Context(), r.Method, r.URL.RequestURI(), r.Header, body)
	if err != nil {
		reset(w)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		reset(w)
		return
	}
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(data)
}

func (p *proxy) send(ctx context.Context, method, uri string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.target+uri, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header.Clone()
	return p.client.Do(req)
}

// reset ends the connection of a call as that of a process that has crashed.
func reset(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := h.Hijack()
	if err != nil {
		return
	}
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
}
