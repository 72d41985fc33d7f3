package standin

import (
	"context"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/engine/enginepb"
	"lentilmux.example/lentilmux/engine/enginepb/enginepbconnect"
	"lentilmux.example/lentilmux/platformlog/platformlogpb"
	"lentilmux.example/lentilmux/platformlog/platformlogpb/platformlogpbconnect"
	"lentilmux.example/lentilmux/vmlist/vmlistpb"
	"lentilmux.example/lentilmux/vmlist/vmlistpb/vmlistpbconnect"
)

// engineServer implements the engines' Connect service on an [Engine].
type engineServer struct {
	engine *Engine
}

// EngineHandler returns a handler that serves an engine over Connect, as defined
// in engine/enginepb/engine.proto.
func EngineHandler(engine *Engine) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(enginepbconnect.NewEngineServiceHandler(&engineServer{engine: engine}))
	return mux
}

// Run serves the stream of one attempt: the first message opens a stage, each
// further one is a step.
func (s *engineServer) Run(ctx context.Context, stream *connect.BidiStream[enginepb.RunRequest, enginepb.RunResponse]) (err error) {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	stage, err := s.engine.OpenStage(ctx, stageOpenFromProto(first.GetOpen()))
	if err != nil {
		return connectError(err)
	}
	defer func() { _ = stage.Close() }()
	for {
		request, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		output, err := stage.Step(ctx, lentilmux.StepInput{
			Position: int(request.GetPosition()), Token: request.GetToken(), Activation: request.GetActivation(),
		})
		if err != nil {
			return connectError(err)
		}
		err = stream.Send(&enginepb.RunResponse{
			Position: int32(output.Position), Activation: output.Activation, Token: output.Token, End: output.End,
		})
		if err != nil {
			return err
		}
	}
}

// stageOpenFromProto converts the message that opens a stage.
func stageOpenFromProto(open *enginepb.Open) lentilmux.StageOpen {
	return lentilmux.StageOpen{
		Request: lentilmux.RequestID(open.GetRequest()), Epoch: lentilmux.Epoch(open.GetEpoch()), Model: open.GetModel(),
		Layers: layerRangeFromProto(open.GetLayers()), TotalLayers: int(open.GetTotal()), Prompt: open.GetPrompt(),
		Generated: open.GetGenerated(), MaxTokens: int(open.GetMaxTokens()), Priority: int(open.GetPriority()),
	}
}

// layerRangeFromProto converts a layer range.
func layerRangeFromProto(l *enginepb.Layers) lentilmux.LayerRange {
	return lentilmux.LayerRange{First: int(l.GetFirst()), Last: int(l.GetLast())}
}

// connectError converts an engine's error to the Connect error of the response.
// For a dead engine it panics with [http.ErrAbortHandler] instead, which breaks
// the connection without an answer, as the death of a process does.
func connectError(err error) error {
	var upstreamError *lentilmux.UpstreamError
	if !errors.As(err, &upstreamError) {
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	switch upstreamError.Kind {
	case lentilmux.FailureRefused:
		return connect.NewError(connect.CodeResourceExhausted, err)
	case lentilmux.FailureProtocol:
		return connect.NewError(connect.CodeInvalidArgument, err)
	case lentilmux.FailureCrash, lentilmux.FailureDial:
		panic(http.ErrAbortHandler)
	default:
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
}

// Load serves the engine's load report.
func (s *engineServer) Load(ctx context.Context, _ *connect.Request[enginepb.LoadRequest]) (response *connect.Response[enginepb.LoadResponse], err error) {
	report, err := s.engine.Load(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	message := &enginepb.LoadResponse{
		Running: int32(report.Running), Queued: int32(report.Queued),
		Layers: &enginepb.Layers{First: int32(report.Layers.First), Last: int32(report.Layers.Last)},
		Held:   report.HasLayers, Model: report.Model, Leaving: report.Leaving, Fence: uint64(report.Fence), AtUnixMs: report.At.UnixMilli(),
	}
	for _, prefix := range report.CachedPrefixes {
		message.CacheHits = append(message.CacheHits, uint64(prefix))
	}
	return connect.NewResponse(message), nil
}

// Order passes an order to the engine.
func (s *engineServer) Order(ctx context.Context, request *connect.Request[enginepb.OrderRequest]) (response *connect.Response[enginepb.OrderResponse], err error) {
	m := request.Msg
	order := lentilmux.Order{Model: m.GetModel(), Layers: layerRangeFromProto(m.GetLayers()), Fence: lentilmux.Revision(m.GetFence())}
	if err := s.engine.Order(ctx, order); err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&enginepb.OrderResponse{}), nil
}

// ServiceHandler returns a handler that serves a plain service over HTTP. It breaks
// the connection without an answer if the service fails.
func ServiceHandler(service *Service) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		reply, err := service.Run(r.Context(), lentilmux.ServiceCall{
			Method: r.Method, Path: r.URL.RequestURI(), Body: body, Key: r.Header.Get("Idempotency-Key"),
		})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", reply.ContentType)
		w.WriteHeader(reply.Status)
		_, _ = w.Write(reply.Body) // fails only if the client has disconnected
	})
}

// platformServer implements the Connect services of the log and the list of VMs.
type platformServer struct {
	log    *Log
	vmList *VMList
}

// PlatformHandler returns a handler that serves the log and the list of VMs over
// Connect, as defined in platformlog/platformlogpb/platformlog.proto and
// vmlist/vmlistpb/vmlist.proto.
func PlatformHandler(log *Log, list *VMList) http.Handler {
	s := &platformServer{log: log, vmList: list}
	mux := http.NewServeMux()
	mux.Handle(platformlogpbconnect.NewLogServiceHandler(s))
	mux.Handle(vmlistpbconnect.NewVMListServiceHandler(s))
	return mux
}

// Append serves an append to the log.
func (s *platformServer) Append(ctx context.Context, request *connect.Request[platformlogpb.AppendRequest]) (response *connect.Response[platformlogpb.AppendResponse], err error) {
	if err := s.log.Append(ctx, lentilmux.Stream(request.Msg.GetStream()), request.Msg.GetEntries()); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&platformlogpb.AppendResponse{}), nil
}

// Read serves a read from the log.
func (s *platformServer) Read(ctx context.Context, request *connect.Request[platformlogpb.ReadRequest]) (response *connect.Response[platformlogpb.ReadResponse], err error) {
	m := request.Msg
	wait := time.Duration(m.GetWaitMs()) * time.Millisecond
	page, err := s.log.Read(ctx, lentilmux.Stream(m.GetStream()), m.GetFrom(), wait)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	reply := &platformlogpb.ReadResponse{Timeline: uint64(page.Timeline), Start: page.Start, End: page.End}
	for _, entry := range page.Entries {
		reply.Entries = append(reply.Entries, &platformlogpb.Entry{Offset: entry.Offset, AtUnixMs: entry.At.UnixMilli(), Data: entry.Data})
	}
	return connect.NewResponse(reply), nil
}

// List serves the list of VMs.
func (s *platformServer) List(ctx context.Context, _ *connect.Request[vmlistpb.ListRequest]) (response *connect.Response[vmlistpb.ListResponse], err error) {
	vms, err := s.vmList.List(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	reply := &vmlistpb.ListResponse{}
	for _, vm := range vms {
		reply.Vms = append(reply.Vms, &vmlistpb.VM{
			Name: vm.Name, Role: string(vm.Role), Zone: vm.Zone, Addr: vm.Addr.String(), Leaving: vm.Leaving,
		})
	}
	return connect.NewResponse(reply), nil
}
